"""The schedule of a churn run."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ChurnSchedule:
    """
    The times of changes, in seconds after the sessions have been opened.

    A killed balancer is removed from the fabric ``detection_delay_s`` later. A frozen
    one stays in the fabric for the whole ``freeze_s``. A session without a tick for
    ``stall_timeout_s`` has stalled. The reports at the end are distributed over
    ``probe_period_s``; each must be answered within ``probe_timeout_s``.
    """

    kill_at_s: float = 3.0
    detection_delay_s: float = 1.0
    start_at_s: float = 8.0
    freeze_at_s: float = 12.0
    freeze_s: float = 5.0
    add_at_s: float = 20.0
    drain_at_s: float = 26.0
    end_at_s: float = 36.0
    stall_timeout_s: float = 5.0
    probe_period_s: float = 10.0
    probe_timeout_s: float = 10.0
