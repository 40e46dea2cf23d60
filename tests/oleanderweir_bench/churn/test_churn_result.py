from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from oleanderweir_bench.churn import ChurnReport
from oleanderweir_bench.churn import ChurnResult
from oleanderweir_bench.churn import FeedSession
from oleanderweir_bench.churn import SessionOpener


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir_bench.callers import Http3Caller


def refuse_caller() -> Http3Caller:
    raise NotImplementedError


def summarize(sessions: list[FeedSession], doubled_runs: int = 0) -> ChurnResult:
    opener = SessionOpener(create_caller=refuse_caller)
    opener.handshake_times_s = [0.01] * 98 + [0.5] * 2
    return ChurnResult.summarize(
        routing="anchored", sessions=sessions, opener=opener, doubled_runs=doubled_runs
    )


def test_each_broken_session_counts_once() -> None:
    result = summarize(
        [
            FeedSession(number=1, error="ended", probe_error="late"),
            FeedSession(number=2, probe_error="late"),
            FeedSession(number=3, longest_gap_s=2.5),
        ]
    )

    assert (result.broken, result.broken_feeds, result.unanswered_probes) == (2, 1, 2)
    assert result.errors == {"ended": 1, "late": 1}
    assert result.gap_max_s == 2.5
    assert (result.opening_median_s, result.opening_p99_s) == (0.01, 0.5)


@pytest.mark.parametrize(
    ("session", "doubled_runs"),
    [
        (FeedSession(number=1, error="ended"), 0),
        (FeedSession(number=1, probe_error="late"), 0),
        (FeedSession(number=1, missing=1), 0),
        (FeedSession(number=1, doubled=1), 0),
        (FeedSession(number=1), 1),
    ],
    ids=["feed", "probe", "missing-tick", "doubled-tick", "doubled-run"],
)
def test_one_fault_fails_a_run(session: FeedSession, doubled_runs: int) -> None:
    assert summarize([FeedSession(number=0)]).is_passed
    assert not summarize([session], doubled_runs).is_passed


def test_a_report_is_written_as_markdown_and_json(tmp_path: Path) -> None:
    report = ChurnReport(results=[summarize([FeedSession(number=1)])])

    report.write(tmp_path / "results")

    table = (tmp_path / "results" / "churn.md").read_text(encoding="utf-8")
    assert "| broken sessions | 0 |" in table
    [document] = json.loads((tmp_path / "results" / "churn.json").read_bytes())
    assert document["sessions"] == 1
