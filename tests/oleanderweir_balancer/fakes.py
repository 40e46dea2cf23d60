from __future__ import annotations

import random
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.connection_id import ConnectionId
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.envelope import Envelope
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.keys import KeyPurpose
from oleanderweir.net import Datagram
from oleanderweir.net import SocketAddress
from oleanderweir.net import UdpSocket
from oleanderweir_balancer.agent_selector import AgentSelector
from oleanderweir_balancer.flow_opener import FlowOpener
from oleanderweir_balancer.metrics import BalancerMetrics
from oleanderweir_balancer.service_listener import ServiceListener
from tests.oleanderweir.helpers import make_key_ring


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_balancer.drop_reason import DropReason


CALLER = ("127.0.0.9", 40000)


class FakeConfiguration:
    """A fixed set of services and backend servers."""

    def __init__(
        self,
        *,
        services: Sequence[Service] = (),
        backend_servers: Sequence[BackendServer] = (),
    ) -> None:
        self.all_services = services
        self.all_backend_servers = backend_servers
        self.is_ready = True

    def services(self) -> Sequence[Service]:
        return self.all_services

    def service(self, name: str) -> Service | None:
        return next(
            (service for service in self.all_services if service.name == name), None
        )

    def backend_server(self, name: str) -> BackendServer | None:
        servers = self.all_backend_servers
        return next((server for server in servers if server.name == name), None)

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        return [
            server for server in self.all_backend_servers if server.service == service
        ]

    async def wait_changed(self) -> None:
        raise NotImplementedError


class RecordingSocket(UdpSocket):
    """Records datagrams instead of sending them; ``source`` is the destination."""

    def __init__(self) -> None:
        self.sent: list[Datagram] = []

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append(Datagram(data=data, source=address))
        return True


def make_backend_server(
    name: str, *, service: str = "horaflujo", port: int, is_draining: bool = False
) -> BackendServer:
    return BackendServer(
        name=name,
        service=service,
        availability_zone="stgo-b",
        agent_address=SocketAddress(host="127.0.0.1", port=port),
        peer_address=SocketAddress(host="127.0.0.1", port=port),
        slots=4,
        is_draining=is_draining,
    )


class ListenerBench:
    """A listener of one service whose sockets record the sent datagrams."""

    def __init__(
        self,
        *,
        service: str = "horaflujo",
        address: str = "192.0.2.1:443",
        backend_servers: Sequence[BackendServer] = (),
        keys: str | None = None,
    ) -> None:
        ring = make_key_ring(keys) if keys else make_key_ring()
        self.service_address = SocketAddress.parse(address)
        self.codec = ConnectionIdCodec(key_ring=ring)
        self.envelopes = EnvelopeCodec(
            key_ring=ring, purpose=KeyPurpose.ENVELOPE_TO_AGENT
        )
        self.metrics = BalancerMetrics(registry=CollectorRegistry())
        self.front = RecordingSocket()
        self.back = RecordingSocket()
        self.selector = AgentSelector(
            configuration=FakeConfiguration(
                services=[Service(name=service, address=self.service_address)],
                backend_servers=backend_servers,
            ),
            random_source=random.Random(1),
        )
        self.opener = FlowOpener(
            selector=self.selector,
            send=self._send,
            metrics=self.metrics,
        )
        self.listener = ServiceListener(
            service_name=service,
            service_address=self.service_address,
            socket=self.front,
            back_socket=self.back,
            connection_ids=self.codec,
            envelopes=self.envelopes,
            selector=self.selector,
            opener=self.opener,
            metrics=self.metrics,
        )

    def _send(self, data: bytes, agent: SocketAddress) -> None:
        self.back.send_to(data, agent.sockaddr)

    def issue_connection_id(
        self, *, agent: str = "127.0.0.1:9000", address: str = ""
    ) -> bytes:
        service = SocketAddress.parse(address) if address else self.service_address
        return self.codec.encode(
            ConnectionId(
                agent=SocketAddress.parse(agent).packed,
                incarnation=1,
                service_tag=self.codec.issuing_service_tag(service.packed),
                nonce=1,
            )
        )

    def route(self, data: bytes, caller: tuple[str, int] = CALLER) -> None:
        self.listener.route(Datagram(data=data, source=caller))

    def dropped(self, reason: DropReason) -> float:
        value: float = self.metrics.dropped[reason]._value.get()
        return value

    def sent_envelope(self, index: int = 0) -> Envelope:
        return self.envelopes.decode(self.back.sent[index].data)
