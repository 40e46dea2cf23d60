"""The backend servers of an emulated site."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from oleanderweir.flows import route_address
from oleanderweir_bench.packet_path.emulated_backend import EmulatedBackendServer
from oleanderweir_bench.packet_path.site_settings import BACKEND_PORT
from oleanderweir_bench.packet_path.site_settings import OUTBOUND_PORT
from oleanderweir_bench.packet_path.site_settings import ROUTE
from oleanderweir_bench.packet_path.site_settings import SERVICE
from oleanderweir_bench.packet_path.site_settings import SLOTS
from oleanderweir_bench.packet_path.stray_packet_watch import StrayPacketWatch


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
    from oleanderweir_bench.packet_path.site_result import SiteResult
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


class EmulatedBackends:
    """The backend servers by host, and the watch on packets of their flows."""

    def __init__(
        self,
        *,
        random_source: random.Random,
        network: VirtualNetwork,
        codec: EmulatedPacketCodec,
        result: SiteResult,
    ) -> None:
        self.random_source = random_source
        self.network = network
        self.codec = codec
        self.result = result
        self.servers: dict[str, EmulatedBackendServer] = {}
        self.stray_packets = StrayPacketWatch(find_owner=self.find_owner)
        # Services that each route has led to, by its address.
        self.allowed_services: dict[bytes, set[str]] = {ROUTE: {SERVICE}}
        # Requests that any of the backend servers has started.
        self.started_requests: set[tuple[FlowKey, int]] = set()

    def start(self, host: str, *, service: str = SERVICE) -> None:
        """Start a backend server with a random speed on a new host."""
        server = self.servers[host] = EmulatedBackendServer(
            service=service,
            host=host,
            port=BACKEND_PORT,
            agent=(host, OUTBOUND_PORT),
            slots=SLOTS,
            mean_service_time_s=0.05 * self.random_source.choice((0.6, 1.0, 1.6)),
            network=self.network,
            codec=self.codec,
            result=self.result,
            random_source=random.Random(self.random_source.random()),
            on_opening=lambda packet: self._on_opening(service, packet),
            on_flow_packet=lambda packet: self._on_flow_packet(host, packet),
        )
        server.started_requests = self.started_requests

    def find_owner(self, key: FlowKey) -> str | None:
        """Return the host whose backend server holds a flow."""
        return next(
            (host for host, server in self.servers.items() if server.holds_flow(key)),
            None,
        )

    def find_open_flows(self) -> set[FlowKey]:
        """Return the flows that any backend server has open."""
        return {
            key
            for server in self.servers.values()
            for key, flow in server.flows.items()
            if flow.is_open
        }

    def holds_flow(self, key: FlowKey) -> bool:
        """Whether any backend server holds a flow."""
        return self.find_owner(key) is not None

    def _on_opening(self, service: str, packet: Packet) -> None:
        allowed = self.allowed_services.get(route_address(packet.key), set())
        self.result.foreign_runs += service not in allowed

    def _on_flow_packet(self, host: str, packet: Packet) -> None:
        self.stray_packets.on_packet(host, packet.key)
        self.result.stray_flows = len(self.stray_packets.stray)
