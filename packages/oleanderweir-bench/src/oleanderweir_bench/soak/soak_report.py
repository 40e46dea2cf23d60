"""What one soak found."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path import SiteResult


# At least this share of the last requests must be served.
MIN_SERVED_SHARE = 0.25


@attrs.frozen(kw_only=True)
class SoakReport:
    """
    The results of the whole soak and of its last seconds, and what was done.

    ``events`` are the faults in order, with their times; ``log`` holds the last lines
    of the processes that ended by themselves.
    """

    seed: int
    overall: SiteResult
    after_recovery: SiteResult
    events: tuple[str, ...]
    log: tuple[str, ...]

    @property
    def has_recovered(self) -> bool:
        """Whether requests are served again after the faults."""
        return self.after_recovery.served >= MIN_SERVED_SHARE * max(
            1, self.after_recovery.total
        )

    @property
    def is_clean(self) -> bool:
        """Whether every promise was kept."""
        return self.overall.violations == 0 and self.has_recovered
