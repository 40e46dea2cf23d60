"""Status that a process reports."""

from __future__ import annotations

import attrs

# cattrs resolves the types of the fields at run time.
from oleanderweir.admin.readiness_reason import ReadinessReason  # noqa: TC001


@attrs.frozen(kw_only=True)
class ProcessStatus:
    """The response of ``/status``; ``uptime_s`` is in seconds since startup."""

    role: str
    version: str
    instance_name: str
    availability_zone: str
    region: str
    uptime_s: float
    is_ready: bool
    reasons: tuple[ReadinessReason, ...]
