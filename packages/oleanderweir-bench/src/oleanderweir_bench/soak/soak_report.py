"""What one soak found."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path import SiteResult


# At least this share of the last requests must be served.
RECOVERED_SHARE = 0.25


@attrs.frozen(kw_only=True)
class SoakReport:
    """
    The results of the whole soak and of its last seconds, and what was done.

    ``events`` are the faults in order, with their times; ``log`` holds the last lines
    of the processes that ended by themselves.
    """

    seed: int
    whole: SiteResult
    last: SiteResult
    events: tuple[str, ...]
    log: tuple[str, ...]

    @property
    def has_recovered(self) -> bool:
        """Whether requests are served again after the faults."""
        return self.last.served >= RECOVERED_SHARE * max(1, self.last.total)

    @property
    def is_clean(self) -> bool:
        """Whether every promise was kept."""
        return self.whole.violations == 0 and self.has_recovered
