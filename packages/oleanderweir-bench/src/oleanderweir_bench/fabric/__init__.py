"""A stand-in for the fabric that sprays packets over the balancers."""

from __future__ import annotations

from oleanderweir_bench.fabric.caller_socket import CallerSocket
from oleanderweir_bench.fabric.conditions import Conditions
from oleanderweir_bench.fabric.control_application import ControlApplication
from oleanderweir_bench.fabric.direction import Direction
from oleanderweir_bench.fabric.fabric_counters import FabricCounters
from oleanderweir_bench.fabric.fabric_stand_in import FabricStandIn
from oleanderweir_bench.fabric.packet_record import PacketRecord
from oleanderweir_bench.fabric.packet_sender import PacketSender


__all__ = [
    "CallerSocket",
    "Conditions",
    "ControlApplication",
    "Direction",
    "FabricCounters",
    "FabricStandIn",
    "PacketRecord",
    "PacketSender",
]
