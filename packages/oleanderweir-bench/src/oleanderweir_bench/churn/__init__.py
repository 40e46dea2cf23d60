"""Measures open sessions while balancers and backend servers change."""

from __future__ import annotations

from oleanderweir_bench.churn.churn_experiment import ChurnExperiment
from oleanderweir_bench.churn.churn_report import ChurnReport
from oleanderweir_bench.churn.churn_result import ChurnResult
from oleanderweir_bench.churn.churn_schedule import ChurnSchedule
from oleanderweir_bench.churn.feed_session import FeedSession
from oleanderweir_bench.churn.rendezvous_listener import RendezvousListener
from oleanderweir_bench.churn.session_opener import SessionOpener


__all__ = [
    "ChurnExperiment",
    "ChurnReport",
    "ChurnResult",
    "ChurnSchedule",
    "FeedSession",
    "RendezvousListener",
    "SessionOpener",
]
