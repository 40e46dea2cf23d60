"""Options of a stand-in backend server."""

from __future__ import annotations

import attrs
from attrs import validators


@attrs.frozen(kw_only=True)
class BackendOptions:
    """
    Options of a stand-in backend server, which may change while it runs.

    Work takes its nominal time, by default ``work_ms``, divided by ``speed``, which
    rises from a quarter to its full value during the first ``cold_start_s``. At most
    ``slots`` requests run and ``queue_limit`` more wait; at most ``connections`` feeds
    are open. ``load_lag_s`` is the maximum age of a load report; ``reported_busy`` and
    ``reported_healthy`` replace the real values in reports.
    """

    slots: int = attrs.field(default=4, validator=validators.ge(1))
    queue_limit: int = attrs.field(default=4, validator=validators.ge(0))
    connections: int = attrs.field(default=2000, validator=validators.ge(0))
    speed: float = attrs.field(default=1.0, validator=validators.gt(0.0))
    cold_start_s: float = attrs.field(default=0.0, validator=validators.ge(0.0))
    work_ms: float = attrs.field(default=5.0, validator=validators.ge(0.0))
    retry_after_s: int = attrs.field(default=1, validator=validators.ge(0))
    load_lag_s: float = attrs.field(default=0.0, validator=validators.ge(0.0))
    reported_busy: int | None = None
    reported_healthy: bool | None = None
