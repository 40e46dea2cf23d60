"""Traces of flows, merged from the logs of all processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Iterable


# Common fields of all lines; all other fields are inputs of the decision.
HEAD_FIELDS = frozenset(
    {"time", "level", "instance", "availability_zone", "message", "code", "flow"}
)


@attrs.frozen(kw_only=True)
class TraceLine:
    """A logged decision about a flow; ``time`` is the Unix time in seconds."""

    time: float
    instance: str
    code: str
    inputs: str

    def __str__(self) -> str:
        return f"{self.time:.4f} {self.instance} {self.code} {self.inputs}".rstrip()


def trace_flow(flow: str, lines: Iterable[str]) -> list[TraceLine]:
    """
    Return the decisions about one or more flows, sorted by time.

    ``flow`` is the notation of a flow in logs or a prefix of it, such as a caller's
    address. Lines of other flows and lines without valid JSON are skipped.
    """
    trace = []
    for line in lines:
        start = line.find("{")
        if start < 0 or flow not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if str(fields.get("flow", "")).startswith(flow):
            trace.append(_make_line(fields))
    return sorted(trace, key=lambda line: line.time)


def _make_line(fields: dict[str, object]) -> TraceLine:
    inputs = [
        f"{name}={value}" for name, value in fields.items() if name not in HEAD_FIELDS
    ]
    return TraceLine(
        time=float(str(fields.get("time", 0))),
        instance=str(fields.get("instance", "?")),
        code=str(fields.get("code", "?")),
        inputs=" ".join(inputs),
    )
