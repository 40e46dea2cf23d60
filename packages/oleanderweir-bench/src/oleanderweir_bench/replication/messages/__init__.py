"""Messages between the experiment and its workers."""

from __future__ import annotations

from oleanderweir_bench.replication.messages.json_lines import WorkerMessage
from oleanderweir_bench.replication.messages.json_lines import decode_line
from oleanderweir_bench.replication.messages.json_lines import encode_line
from oleanderweir_bench.replication.messages.node_plan import NodePlan
from oleanderweir_bench.replication.messages.node_ready import NodeReady
from oleanderweir_bench.replication.messages.report_usage import ReportUsage
from oleanderweir_bench.replication.messages.start_node import StartNode
from oleanderweir_bench.replication.messages.stop_node import StopNode
from oleanderweir_bench.replication.messages.tickets_in_force import TicketsInForce
from oleanderweir_bench.replication.messages.worker_usage import WorkerUsage


__all__ = [
    "NodePlan",
    "NodeReady",
    "ReportUsage",
    "StartNode",
    "StopNode",
    "TicketsInForce",
    "WorkerMessage",
    "WorkerUsage",
    "decode_line",
    "encode_line",
]
