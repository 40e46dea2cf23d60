"""Results of one soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path import SiteResult


# Minimum share of the requests after the recovery that must be served.
MIN_SERVED_SHARE = 0.25


@attrs.frozen(kw_only=True)
class SoakReport:
    """
    Results of the whole soak and of the time after the recovery.

    ``events`` lists faults and unexpected exits in order, each with its time in
    seconds. ``log`` holds the last lines of processes that exited unexpectedly, and the
    traces of flows that were reset although a backend server held them.
    """

    seed: int
    overall: SiteResult
    after_recovery: SiteResult
    events: tuple[str, ...]
    log: tuple[str, ...]

    @property
    def has_recovered(self) -> bool:
        """Whether enough requests were served after the recovery."""
        return self.after_recovery.served >= MIN_SERVED_SHARE * max(
            1, self.after_recovery.total
        )

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was violated and the site recovered."""
        return self.overall.violations == 0 and self.has_recovered
