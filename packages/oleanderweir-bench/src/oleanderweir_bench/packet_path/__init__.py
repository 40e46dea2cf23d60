"""
The packet path in virtual time: callers, routers, balancers, agents, backend servers.

Balancers and agents are the real code; callers, routers, backend servers and the
network are emulated. Scenarios need no installation, and a seed replays a failure.
"""

from __future__ import annotations

from oleanderweir_bench.packet_path.caller_starter import CallerStarter
from oleanderweir_bench.packet_path.emulated_backend import EmulatedBackendServer
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
from oleanderweir_bench.packet_path.emulated_codec import encode_packet
from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
from oleanderweir_bench.packet_path.emulated_site import EmulatedSite
from oleanderweir_bench.packet_path.endpoint_codec import EndpointCodec
from oleanderweir_bench.packet_path.network import Network
from oleanderweir_bench.packet_path.packet_header import PacketHeader
from oleanderweir_bench.packet_path.power_loss_result import PowerLossResult
from oleanderweir_bench.packet_path.power_loss_scenario import run_power_loss
from oleanderweir_bench.packet_path.random_series import run_random_series
from oleanderweir_bench.packet_path.routes import make_route
from oleanderweir_bench.packet_path.scenarios import FLOW_SCENARIOS
from oleanderweir_bench.packet_path.scenarios import SCENARIOS
from oleanderweir_bench.packet_path.scenarios import run_scenario
from oleanderweir_bench.packet_path.site_result import SiteResult
from oleanderweir_bench.packet_path.store_outage_scenario import run_store_outage
from oleanderweir_bench.packet_path.uploading_caller import UploadingCaller
from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


__all__ = [
    "FLOW_SCENARIOS",
    "SCENARIOS",
    "CallerStarter",
    "EmulatedBackendServer",
    "EmulatedCaller",
    "EmulatedPacketCodec",
    "EmulatedRouter",
    "EmulatedSite",
    "EndpointCodec",
    "Network",
    "PacketHeader",
    "PowerLossResult",
    "SiteResult",
    "UploadingCaller",
    "VirtualNetwork",
    "encode_packet",
    "make_route",
    "run_power_loss",
    "run_random_series",
    "run_scenario",
    "run_store_outage",
]
