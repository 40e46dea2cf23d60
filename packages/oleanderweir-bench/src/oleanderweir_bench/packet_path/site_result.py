"""Results of requests and violated guarantees."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class SiteResult:
    """
    Counts of requests by result, and of violated guarantees.

    ``in_time``, ``late`` and ``failed`` count requests answered within the target
    latency, answered later, and not answered before their timeout.

    ``false_resets`` counts resets of flows that their backend server still held,
    ``stray_flows`` flows of which other backend servers got several packets and their
    own got none for too long, ``repeated_runs`` second runs of one attempt,
    ``foreign_runs`` flows opened at a backend server of another service,
    ``late_openings`` flows opened at a backend server that had been draining, or whose
    zone had been evacuated, for too long, ``late_refusals`` flows refused for an
    evacuation that had long ended, ``cold_excess`` new flows beyond the limit of a cold
    start, ``hedge_excess`` opening packets beyond the share that may be hedged,
    ``altered`` packets whose content had changed on the way, ``own_ends`` processes
    that exited without being stopped.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    false_resets: int = 0
    stray_flows: int = 0
    repeated_runs: int = 0
    foreign_runs: int = 0
    late_openings: int = 0
    late_refusals: int = 0
    cold_excess: int = 0
    hedge_excess: int = 0
    altered: int = 0
    own_ends: int = 0

    @property
    def total(self) -> int:
        """The number of requests."""
        return self.served + self.failed

    @property
    def served(self) -> int:
        """The number of answered requests."""
        return self.in_time + self.late

    def since(self, earlier: SiteResult) -> SiteResult:
        """Return the counts of requests since ``earlier``, a copy of this result."""
        return SiteResult(
            in_time=self.in_time - earlier.in_time,
            late=self.late - earlier.late,
            failed=self.failed - earlier.failed,
        )

    @property
    def violations(self) -> int:
        """The number of violated guarantees."""
        return (
            self.false_resets
            + self.stray_flows
            + self.repeated_runs
            + self.foreign_runs
            + self.late_openings
            + self.late_refusals
            + self.cold_excess
            + self.hedge_excess
            + self.altered
            + self.own_ends
        )
