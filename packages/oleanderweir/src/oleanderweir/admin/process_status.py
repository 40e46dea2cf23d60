"""What a process tells of itself."""

from __future__ import annotations

import attrs

# cattrs reads the types of the fields while the process runs.
from oleanderweir.admin.readiness_reason import ReadinessReason  # noqa: TC001


@attrs.frozen(kw_only=True)
class ProcessStatus:
    """The answer to ``/status``; ``uptime_s`` counts from the start of the process."""

    role: str
    version: str
    instance_name: str
    availability_zone: str
    region: str
    uptime_s: float
    is_ready: bool
    reasons: tuple[ReadinessReason, ...]
