"""When what happens in a churn run."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ChurnSchedule:
    """
    When what happens, in seconds after all sessions are open.

    A killed balancer is taken out of the fabric ``notice_s`` later. A frozen one stays
    in the fabric for the whole ``freeze_s``.
    """

    kill_s: float = 3.0
    notice_s: float = 1.0
    join_s: float = 8.0
    freeze_at_s: float = 12.0
    freeze_s: float = 5.0
    add_s: float = 20.0
    leave_s: float = 26.0
    end_s: float = 36.0
    stall_s: float = 5.0
    probe_spread_s: float = 10.0
    probe_timeout_s: float = 10.0
