"""A stand-in backend server."""

from __future__ import annotations

from oleanderweir_bench.backend.application import Application
from oleanderweir_bench.backend.backend_options import BackendOptions
from oleanderweir_bench.backend.executor import Executor
from oleanderweir_bench.backend.feed_source import FeedSource
from oleanderweir_bench.backend.load_snapshot import LoadSnapshot
from oleanderweir_bench.backend.run_ledger import RunLedger
from oleanderweir_bench.backend.run_outcome import RunOutcome
from oleanderweir_bench.backend.run_record import RunRecord
from oleanderweir_bench.backend.run_request import RunRequest


__all__ = [
    "Application",
    "Executor",
    "FeedSource",
    "BackendOptions",
    "LoadSnapshot",
    "RunLedger",
    "RunOutcome",
    "RunRecord",
    "RunRequest",
]
