"""The balancer: its sockets, tasks and service listeners."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.envelope import InvalidEnvelopeError
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.keys import KeyPurpose
from oleanderweir.net import AddressInUseError
from oleanderweir.net import SocketAddress
from oleanderweir.net import UdpSocket
from oleanderweir_balancer.agent_selector import AgentSelector
from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_balancer.flow_opener import FlowOpener
from oleanderweir_balancer.service_listener import ServiceListener


if TYPE_CHECKING:
    import random

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.configuration import Service
    from oleanderweir.control import ControlPlane
    from oleanderweir.keys import KeyRing
    from oleanderweir_balancer.metrics import BalancerMetrics


logger = logging.getLogger(__name__)

BIND_RETRY_INTERVAL_S = 1.0


class Balancer:
    """
    Forwards packets between callers and agents.

    ``bind_host`` is the local host to listen on for every service, for a fabric that
    rewrites the destination; without it each service's own address is bound.
    """

    def __init__(
        self,
        *,
        back_address: SocketAddress,
        bind_host: str | None,
        key_ring: KeyRing,
        configuration: ConfigurationView,
        control_plane: ControlPlane,
        metrics: BalancerMetrics,
        random_source: random.Random,
    ) -> None:
        self.bind_host = bind_host
        self.configuration = configuration
        self.control_plane = control_plane
        self.metrics = metrics
        self.connection_ids = ConnectionIdCodec(key_ring=key_ring)
        self.to_agent_codec = EnvelopeCodec(
            key_ring=key_ring, purpose=KeyPurpose.ENVELOPE_TO_AGENT
        )
        self.from_agent_codec = EnvelopeCodec(
            key_ring=key_ring, purpose=KeyPurpose.ENVELOPE_TO_BALANCER
        )
        self.back_socket = UdpSocket(bind_address=back_address)
        self.selector = AgentSelector(
            configuration=configuration, random_source=random_source
        )
        self.opener = FlowOpener(
            selector=self.selector, send=self._send_to_agent, metrics=metrics
        )
        self.listeners: dict[bytes, ServiceListener] = {}
        self.barrier = ErrorBarrier(place="agent_datagram")
        self.is_listening = False

    @property
    def is_ready(self) -> bool:
        """Whether every service in force has its socket."""
        return self.configuration.is_ready and self.is_listening

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled; signals started once the first sockets are bound."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.control_plane.run)
                nursery.start_soon(self._receive_from_agents)
                nursery.start_soon(self.opener.run)
                await nursery.start(self._follow_configuration, nursery)
                task_status.started()
        finally:
            self._close()

    async def _follow_configuration(
        self, nursery: trio.Nursery, *, task_status: trio.TaskStatus[None]
    ) -> None:
        """Maintain one listener for each service address in force."""
        is_started = False
        while True:
            self.is_listening = self._apply_configuration(nursery)
            if not is_started:
                task_status.started()
                is_started = True
            if self.is_listening:
                await self.configuration.wait_changed()
                continue
            with trio.move_on_after(BIND_RETRY_INTERVAL_S):
                await self.configuration.wait_changed()

    def _apply_configuration(self, nursery: trio.Nursery) -> bool:
        """Open missing listeners, disable old ones; return whether none is missing."""
        services = {
            service.address.packed: service for service in self.configuration.services()
        }
        is_complete = True
        for address, service in services.items():
            is_complete &= self._ensure_listener(nursery, address, service)
        for address, listener in self.listeners.items():
            if address not in services:
                listener.service_name = None
        self.selector.discard_unknown()
        return is_complete

    def _ensure_listener(
        self, nursery: trio.Nursery, address: bytes, service: Service
    ) -> bool:
        """Open the listener of one service unless it is open."""
        listener = self.listeners.get(address)
        if listener is not None:
            listener.service_name = service.name
            return True
        try:
            listener = self._open_listener(service)
        except AddressInUseError as error:
            logger.error(error.message, extra={"code": error.code})
            return False
        self.listeners[address] = listener
        nursery.start_soon(listener.run)
        return True

    def _open_listener(self, service: Service) -> ServiceListener:
        """Bind the socket of one service; raises ``AddressInUseError``."""
        bind_address = SocketAddress(
            host=self.bind_host or service.address.host, port=service.address.port
        )
        return ServiceListener(
            service_name=service.name,
            service_address=service.address,
            socket=UdpSocket(bind_address=bind_address),
            back_socket=self.back_socket,
            connection_ids=self.connection_ids,
            envelopes=self.to_agent_codec,
            selector=self.selector,
            opener=self.opener,
            metrics=self.metrics,
        )

    async def _receive_from_agents(self) -> None:
        """Forward the packets of agents to their callers."""
        while True:
            for datagram in await self.back_socket.receive_batch():
                with self.barrier:
                    self._forward_to_caller(datagram.data)

    def _forward_to_caller(self, data: bytes) -> None:
        """Send the packet of one envelope from the address of its service."""
        try:
            envelope = self.from_agent_codec.decode(data)
        except InvalidEnvelopeError:
            self.metrics.dropped[DropReason.INVALID_ENVELOPE].inc()
            return
        listener = self.listeners.get(envelope.service)
        if listener is None:
            self.metrics.dropped[DropReason.NO_LISTENER].inc()
            return
        listener.send_to_caller(envelope)

    def _send_to_agent(self, encoded_envelope: bytes, agent: SocketAddress) -> None:
        """Send the envelope of a first packet."""
        if self.back_socket.send_to(encoded_envelope, agent.sockaddr):
            self.metrics.forwarded_to_agent.inc()
        else:
            self.metrics.dropped[DropReason.SEND_FAILED].inc()

    def _close(self) -> None:
        for listener in self.listeners.values():
            listener.socket.close()
        self.back_socket.close()
