"""The process runtime that the packet-forwarding balancer and agent share."""

from __future__ import annotations

from oleanderweir.packet_process.clock_watch import boot_time_s
from oleanderweir.packet_process.packet_program import PacketProgram
from oleanderweir.packet_process.process_addresses import ProcessAddresses
from oleanderweir.packet_process.process_runtime import ProcessRuntime


__all__ = ["PacketProgram", "ProcessAddresses", "ProcessRuntime", "boot_time_s"]
