"""The agent process: its sockets, its tasks and its service host."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import trio
import trio_asyncio
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id.connection_id import MAX_INCARNATION
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.net import UdpSocket
from oleanderweir.replication import StreamService
from oleanderweir_agent.peers.grpc_relay_connector import RELAY_METHOD
from oleanderweir_agent.peers.grpc_relay_connector import GrpcRelayConnector
from oleanderweir_agent.service_host import ServiceHost


if TYPE_CHECKING:
    import random
    from pathlib import Path

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.control import ControlPlane
    from oleanderweir.keys import KeyRing
    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerStream
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.verdicts import RequestMetrics


FLUSH_TIMEOUT_S = 3.0
CLOSE_DELAY_S = 0.1
SESSION_IDLE_TIMEOUT_S = 60.0
MAX_STREAM_DATA_BYTES = 1024 * 1024


class Agent:
    """
    Serves callers for one backend server.

    ``incarnation`` is the Unix time in seconds at the start of the process, so that
    packets for an earlier incarnation are recognized after a restart.
    """

    def __init__(
        self,
        *,
        backend_server_name: str,
        agent_address: SocketAddress,
        peer_address: SocketAddress,
        backend_address: SocketAddress,
        tls_certificate: Path,
        tls_private_key: Path,
        key_ring: KeyRing,
        configuration: ConfigurationView,
        control_plane: ControlPlane,
        metrics: AgentMetrics,
        request_metrics: RequestMetrics,
        random_source: random.Random,
    ) -> None:
        self.backend_server_name = backend_server_name
        self.agent_address = agent_address
        self.backend_address = backend_address
        self.key_ring = key_ring
        self.configuration = configuration
        self.control_plane = control_plane
        self.metrics = metrics
        self.request_metrics = request_metrics
        self.random_source = random_source
        self.relay_barrier = ErrorBarrier(place="relay")
        self.service_host: ServiceHost | None = None
        self.connector = GrpcRelayConnector(credentials=control_plane.credentials)
        control_plane.other_services.append(
            StreamService(method=RELAY_METHOD, handler=self._serve_relay)
        )
        self.incarnation = int(time.time()) & MAX_INCARNATION
        self.quic_configuration = QuicConfiguration(
            alpn_protocols=H3_ALPN,
            connection_id_length=CONNECTION_ID_LENGTH_BYTES,
            idle_timeout=SESSION_IDLE_TIMEOUT_S,
            is_client=False,
            max_stream_data=MAX_STREAM_DATA_BYTES,
        )
        self.quic_configuration.load_cert_chain(tls_certificate, tls_private_key)
        self.packet_socket = UdpSocket(bind_address=agent_address)
        self.load_socket = UdpSocket(bind_address=peer_address)

    @property
    def is_ready(self) -> bool:
        """Whether the configuration is ready and contains the backend server."""
        return self.configuration.is_ready and self._own_entry() is not None

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled; report started once the control plane has started."""
        try:
            async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
                await nursery.start(self.control_plane.run)
                task_status.started()
                await self._run_service_host()
        finally:
            self.packet_socket.close()
            self.load_socket.close()

    async def _run_service_host(self) -> None:
        """Wait for the entry of the backend server, then serve until cancelled."""
        try:
            self.service_host = self._create_service_host(await self._wait_own_entry())
            await self.service_host.run()
        finally:
            # The gRPC channels belong to the asyncio loop, which is closed next.
            self.connector.close()

    async def drain(self) -> None:
        """
        Reject new work, complete the work in flight and close the connections.

        Return at once if no service host is running.
        """
        if self.service_host is None:
            return
        self.service_host.drain.begin(drain_period_s=math.inf, is_final=True)
        await self.service_host.drain.wait_finished()
        connections = self.service_host.endpoint.table
        # Relayed requests run at peers, so the drain state doesn't count them.
        await connections.wait_requests_completed()
        # The last responses are written, but callers may not have received them.
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await connections.wait_acknowledged()
        connections.close_all(reason="shutting down")
        # The connection tasks need time to send their CONNECTION_CLOSE frames.
        await trio.sleep(CLOSE_DELAY_S)

    def _own_entry(self) -> BackendServer | None:
        """Return the entry in force, or None if it or its service is missing."""
        entry = self.configuration.backend_server(self.backend_server_name)
        if entry is None or self.configuration.service(entry.service) is None:
            return None
        return entry

    async def _wait_own_entry(self) -> BackendServer:
        """Wait for the entry of the backend server and its service; return it."""
        while True:
            entry = self._own_entry()
            if entry is not None:
                return entry
            await self.configuration.wait_changed()

    def _create_service_host(self, entry: BackendServer) -> ServiceHost:
        """Return a service host for the service of the backend server."""
        service = self.configuration.service(entry.service)
        assert service is not None
        return ServiceHost(
            entry=entry,
            service=service,
            incarnation=self.incarnation,
            key_ring=self.key_ring,
            configuration=self.configuration,
            find_entry=self._own_entry,
            quic_configuration=self.quic_configuration,
            packet_socket=self.packet_socket,
            load_socket=self.load_socket,
            backend_address=self.backend_address,
            connector=self.connector,
            metrics=self.metrics,
            request_metrics=self.request_metrics,
            random_source=self.random_source,
        )

    async def _serve_relay(self, stream: PeerStream) -> None:
        """Serve a peer's relay stream; without a service host, close it."""
        if self.service_host is not None:
            with self.relay_barrier:
                await self.service_host.relay_server.serve(stream)
