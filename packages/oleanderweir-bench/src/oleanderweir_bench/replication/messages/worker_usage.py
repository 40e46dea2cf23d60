"""What a worker has used so far."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class WorkerUsage:
    """
    What a worker, with all its nodes, has used so far.

    ``sent_bytes`` and ``received_bytes`` are those of the control counters.
    """

    at_s: float
    cpu_s: float
    memory_bytes: int
    sent_bytes: float
    received_bytes: float
    budget_delay_s: float
