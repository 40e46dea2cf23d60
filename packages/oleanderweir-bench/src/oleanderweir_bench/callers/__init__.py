"""HTTP/3 clients that act as callers."""

from __future__ import annotations

from oleanderweir_bench.callers.control_stream_reader import ControlStreamReader
from oleanderweir_bench.callers.exceptions import CallerError
from oleanderweir_bench.callers.exceptions import CallerTimeoutError
from oleanderweir_bench.callers.exceptions import RequestResetError
from oleanderweir_bench.callers.exceptions import SessionClosedError
from oleanderweir_bench.callers.exceptions import SessionLeavingError
from oleanderweir_bench.callers.exchange import Exchange
from oleanderweir_bench.callers.feed import Feed
from oleanderweir_bench.callers.http3_caller import Http3Caller
from oleanderweir_bench.callers.response import Response


__all__ = [
    "CallerError",
    "CallerTimeoutError",
    "ControlStreamReader",
    "Exchange",
    "Feed",
    "Http3Caller",
    "RequestResetError",
    "Response",
    "SessionClosedError",
    "SessionLeavingError",
]
