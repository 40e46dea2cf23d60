"""Encodes messages between the experiment and its workers as JSON lines."""

from __future__ import annotations

import json

import cattrs
from cattrs.strategies import configure_tagged_union

from oleanderweir_bench.replication.messages.node_ready import NodeReady
from oleanderweir_bench.replication.messages.report_usage import ReportUsage
from oleanderweir_bench.replication.messages.start_node import StartNode
from oleanderweir_bench.replication.messages.stop_node import StopNode
from oleanderweir_bench.replication.messages.tickets_in_force import TicketsInForce
from oleanderweir_bench.replication.messages.worker_usage import WorkerUsage


WorkerMessage = (
    StartNode | StopNode | ReportUsage | NodeReady | TicketsInForce | WorkerUsage
)
CONVERTER = cattrs.Converter()
configure_tagged_union(WorkerMessage, CONVERTER)


def encode_line(message: WorkerMessage) -> bytes:
    """Return a message as one JSON line."""
    document = CONVERTER.unstructure(message, unstructure_as=WorkerMessage)
    return json.dumps(document).encode() + b"\n"


def decode_line(line: bytes) -> WorkerMessage:
    """Return the message in a JSON line."""
    message: WorkerMessage = CONVERTER.structure(json.loads(line), WorkerMessage)  # type: ignore[arg-type]
    return message
