"""The time for which the backend server is in its cold start."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.desired_state import BackendRecord
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness


def never_evacuated(zone: str) -> float | None:
    """Return ``None``: no evacuation of the zone has ended."""
    del zone
    return None


class ColdPeriod:
    """
    Tells until when the backend server counts as cold, by what this process knows.

    It counts as cold until its first record is known. From then on, its record decides.
    A return after a proven stop, or the end of an evacuation of its zone, can prolong
    the cold start but not shorten it, and only if it is newer than the record. The
    remaining time of a record counts from when it became known, never from its
    publication, since a source or a peer may deliver it late.

    ``evacuation_ended_at`` returns when this process learned that the last evacuation
    of a zone has ended. All times are in seconds of trio's clock, which changes of the
    time of day don't affect.
    """

    def __init__(
        self,
        *,
        liveness: BackendLiveness,
        evacuation_ended_at: Callable[[str], float | None],
    ) -> None:
        self.liveness = liveness
        self.evacuation_ended_at = evacuation_ended_at
        self.record: BackendRecord | None = None
        self.record_known_at = -math.inf
        self.was_stopped = False
        self.returned_at = -math.inf

    def on_record(self, record: BackendRecord | None, *, now: float) -> None:
        """Apply the published record; one that is only withdrawn tells nothing."""
        if record is not None and record != self.record:
            self.record = record
            self.record_known_at = now

    def update(self, *, now: float) -> None:
        """Record whether the backend server runs again after it had stopped."""
        if self.was_stopped and not self.liveness.has_stopped:
            self.returned_at = now
        self.was_stopped = self.liveness.has_stopped

    def ends_at(self, *, duration_s: float) -> float:
        """Return the end of the last cold start, each of which takes ``duration_s``."""
        if self.record is None:
            return math.inf
        ends_at = self.record_known_at + self.record.cold_remaining_s
        started_at = self.returned_at
        evacuation_ended_at = self.evacuation_ended_at(self.record.availability_zone)
        if evacuation_ended_at is not None:
            started_at = max(started_at, evacuation_ended_at)
        if started_at >= self.record_known_at:
            ends_at = max(ends_at, started_at + duration_s)
        return ends_at
