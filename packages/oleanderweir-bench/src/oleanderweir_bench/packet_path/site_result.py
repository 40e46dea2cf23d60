"""What callers saw."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class SiteResult:
    """
    Requests by how they ended, and broken promises.

    ``false_resets`` are resets of flows that their backend server still held,
    ``repeated_runs`` second runs of one attempt, ``foreign_runs`` requests at another
    service.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    false_resets: int = 0
    repeated_runs: int = 0
    foreign_runs: int = 0

    @property
    def asked(self) -> int:
        """All requests."""
        return self.in_time + self.late + self.failed

    @property
    def broken(self) -> int:
        """Promises that were broken."""
        return self.false_resets + self.repeated_runs + self.foreign_runs
