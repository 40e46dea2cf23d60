"""The result of a churn run."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from oleanderweir_bench.churn.feed_session import FeedSession
    from oleanderweir_bench.churn.session_opener import SessionOpener


PERCENTILE = 99


@attrs.frozen(kw_only=True)
class ChurnResult:
    """
    The result of a churn run.

    ``broken`` counts sessions whose feed ended or stalled, or whose report at the end
    failed. ``doubled_runs`` counts reports that were started more than once. The gaps
    are the longest time between two ticks of each session; the opening times are the
    durations of the handshakes. ``errors`` counts the broken sessions by error text.
    """

    routing: str
    sessions: int
    broken: int
    broken_feeds: int
    unanswered_probes: int
    moved_sessions: int
    missing_ticks: int
    doubled_ticks: int
    doubled_runs: int
    gap_median_s: float
    gap_max_s: float
    new_sessions: int
    failed_new_sessions: int
    opening_median_s: float
    opening_p99_s: float
    errors: Mapping[str, int]

    @classmethod
    def summarize(
        cls,
        *,
        routing: str,
        sessions: Sequence[FeedSession],
        opener: SessionOpener,
        doubled_runs: int,
    ) -> ChurnResult:
        """Summarize the sessions of a run."""
        gaps = [session.longest_gap_s for session in sessions] or [0.0]
        handshakes = sorted(opener.handshake_times_s) or [0.0]
        errors: dict[str, int] = {}
        for session in sessions:
            text = session.error or session.probe_error
            if text:
                errors[text] = errors.get(text, 0) + 1
        return cls(
            routing=routing,
            sessions=len(sessions),
            broken=sum(session.is_broken for session in sessions),
            broken_feeds=sum(bool(session.error) for session in sessions),
            unanswered_probes=sum(bool(session.probe_error) for session in sessions),
            moved_sessions=sum(session.has_moved for session in sessions),
            missing_ticks=sum(session.missing for session in sessions),
            doubled_ticks=sum(session.doubled for session in sessions),
            doubled_runs=doubled_runs,
            gap_median_s=round(statistics.median(gaps), 3),
            gap_max_s=round(max(gaps), 3),
            new_sessions=opener.attempts,
            failed_new_sessions=opener.failures,
            opening_median_s=round(statistics.median(handshakes), 4),
            opening_p99_s=round(handshakes[find_percentile_index(len(handshakes))], 4),
            errors=errors,
        )

    @property
    def is_passed(self) -> bool:
        """Whether no session broke, and no tick or report was missing or doubled."""
        return not (
            self.broken or self.missing_ticks or self.doubled_ticks or self.doubled_runs
        )


def find_percentile_index(count: int) -> int:
    """Return the index of the 99th percentile in a sorted sequence (nearest rank)."""
    return max(0, math.ceil(count * PERCENTILE / 100) - 1)
