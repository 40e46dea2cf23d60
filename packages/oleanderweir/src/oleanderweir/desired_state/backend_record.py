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
    ``started_at_ms`` is the Unix time of its start in milliseconds, or 0 if unknown; it
    differs after each restart. ``sequence`` counts what it published since its start.
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
    sequence: int

    def is_older_than(self, other: BackendRecord) -> bool:
        """
        Whether a backend server published this before another record of its name.

        The count starts anew with each start: it orders nothing if one is unknown.
        """
        if not self.started_at_ms or not other.started_at_ms:
            return False
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )
