"""The agent: its sockets, its tasks and the backend server beside it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.connection_id.connection_id import MAX_INCARNATION
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.keys import KeyPurpose
from oleanderweir.net import UdpSocket
from oleanderweir_agent.backend import BackendClient
from oleanderweir_agent.quic import AgentChoice
from oleanderweir_agent.quic import ConnectionIdIssuer
from oleanderweir_agent.quic import PacketEndpoint
from oleanderweir_agent.quic import RetryTokenCodec
from oleanderweir_agent.requests.direct_handler import DirectHandler


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.control import ControlPlane
    from oleanderweir.keys import KeyRing
    from oleanderweir.net import SocketAddress
    from oleanderweir_agent.metrics import AgentMetrics


SESSION_IDLE_TIMEOUT_S = 60.0
MAX_STREAM_DATA_BYTES = 1024 * 1024


class Agent:
    """
    Serves the callers of one backend server.

    ``incarnation`` counts seconds of Unix time at the start of the process, so a
    restarted agent never takes itself for the one before.
    """

    def __init__(
        self,
        *,
        backend_server_name: str,
        agent_address: SocketAddress,
        backend_address: SocketAddress,
        tls_certificate: Path,
        tls_private_key: Path,
        key_ring: KeyRing,
        configuration: ConfigurationView,
        control_plane: ControlPlane,
        metrics: AgentMetrics,
    ) -> None:
        self.backend_server_name = backend_server_name
        self.agent_address = agent_address
        self.backend_address = backend_address
        self.key_ring = key_ring
        self.configuration = configuration
        self.control_plane = control_plane
        self.metrics = metrics
        self.incarnation = int(time.time()) & MAX_INCARNATION
        self.quic_configuration = QuicConfiguration(
            alpn_protocols=H3_ALPN,
            connection_id_length=CONNECTION_ID_LENGTH_BYTES,
            idle_timeout=SESSION_IDLE_TIMEOUT_S,
            is_client=False,
            max_stream_data=MAX_STREAM_DATA_BYTES,
        )
        self.quic_configuration.load_cert_chain(tls_certificate, tls_private_key)
        self.socket = UdpSocket(bind_address=agent_address)

    @property
    def is_ready(self) -> bool:
        """Whether a ticket in force names this agent's backend server."""
        return self.configuration.is_ready and self._own_entry() is not None

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.control_plane.run)
                task_status.started()
                entry = await self._wait_own_entry()
                await self._make_endpoint(entry.service).run()
        finally:
            self.socket.close()

    def choose(self) -> AgentChoice:
        """Return this agent itself."""
        return AgentChoice(address=self.agent_address, incarnation=self.incarnation)

    def _own_entry(self) -> BackendServer | None:
        """Return the entry in force of the backend server beside this agent."""
        for service in self.configuration.services():
            for server in self.configuration.backend_servers(service.name):
                if server.name == self.backend_server_name:
                    return server
        return None

    async def _wait_own_entry(self) -> BackendServer:
        """Wait until a ticket names the backend server beside this agent."""
        while True:
            entry = self._own_entry()
            if entry is not None:
                return entry
            await self.configuration.wait_changed()

    def _make_endpoint(self, service_name: str) -> PacketEndpoint:
        codec = ConnectionIdCodec(key_ring=self.key_ring)
        return PacketEndpoint(
            socket=self.socket,
            service_name=service_name,
            configuration=self.configuration,
            quic_configuration=self.quic_configuration,
            from_balancers=EnvelopeCodec(
                key_ring=self.key_ring, purpose=KeyPurpose.ENVELOPE_TO_AGENT
            ),
            to_balancers=EnvelopeCodec(
                key_ring=self.key_ring, purpose=KeyPurpose.ENVELOPE_TO_BALANCER
            ),
            tokens=RetryTokenCodec(key_ring=self.key_ring),
            issuer=ConnectionIdIssuer(
                codec=codec,
                agent_address=self.agent_address,
                incarnation=self.incarnation,
            ),
            chooser=self,
            handler=DirectHandler(backend=BackendClient(address=self.backend_address)),
            metrics=self.metrics,
        )
