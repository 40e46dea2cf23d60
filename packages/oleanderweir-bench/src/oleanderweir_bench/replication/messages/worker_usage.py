"""The usage of a worker so far."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class WorkerUsage:
    """
    The usage of a worker process, with all its nodes, so far.

    ``at_s`` is monotonic time in seconds. ``sent_bytes`` and ``received_bytes`` are the
    values of the control byte counters.
    """

    at_s: float
    cpu_s: float
    memory_bytes: int
    sent_bytes: float
    received_bytes: float
    budget_delay_s: float
