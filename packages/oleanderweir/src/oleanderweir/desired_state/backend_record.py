"""The published record of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_state import BackendState


@attrs.frozen(kw_only=True)
class BackendRecord:
    """
    The state that a backend server published about itself.

    ``host`` is the address of its instance, which also runs its agent. ``slots`` is
    the number of requests that it runs concurrently. ``cold_remaining_s`` is the rest
    of its cold start, in seconds, at the time of publication; it is slow until then.
    ``started_at_ms`` is the Unix time of its start in milliseconds; it differs after
    each restart.
    """

    identifier: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    state: BackendState
    cold_remaining_s: float
    started_at_ms: int
