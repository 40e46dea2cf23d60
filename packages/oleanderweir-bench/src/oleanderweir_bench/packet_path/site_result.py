"""What callers saw."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class SiteResult:
    """
    Requests by how they ended, and broken promises.

    ``false_resets`` are resets of flows that their backend server still held,
    ``repeated_runs`` second runs of one attempt, ``foreign_runs`` requests at another
    service, ``late_openings`` new flows at a backend server that had drained for too
    long, ``altered`` packets that arrived otherwise than they were sent, ``own_ends``
    processes that ended by themselves.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    false_resets: int = 0
    repeated_runs: int = 0
    foreign_runs: int = 0
    late_openings: int = 0
    altered: int = 0
    own_ends: int = 0

    @property
    def total(self) -> int:
        """All requests."""
        return self.served + self.failed

    @property
    def served(self) -> int:
        """Requests that were answered."""
        return self.in_time + self.late

    def since(self, earlier: SiteResult) -> SiteResult:
        """Return the requests that ended after an earlier copy of this result."""
        return SiteResult(
            in_time=self.in_time - earlier.in_time,
            late=self.late - earlier.late,
            failed=self.failed - earlier.failed,
        )

    @property
    def violations(self) -> int:
        """Promises that were broken."""
        return (
            self.false_resets
            + self.repeated_runs
            + self.foreign_runs
            + self.late_openings
            + self.altered
            + self.own_ends
        )
