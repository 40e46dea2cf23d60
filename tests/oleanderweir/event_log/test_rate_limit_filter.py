from __future__ import annotations

import logging

from oleanderweir.event_log import RateLimitFilter
from tests.oleanderweir.helpers import FakeClock


def make_record(code: str) -> logging.LogRecord:
    record = logging.makeLogRecord({"msg": "message", "levelno": logging.INFO})
    record.code = code
    return record


def test_a_frequent_code_is_limited_independently_of_other_codes() -> None:
    limit = RateLimitFilter(max_lines=3, clock=FakeClock())

    frequent = [limit.filter(make_record("frequent")) for _ in range(10)]

    assert frequent == [True] * 3 + [False] * 7
    assert limit.filter(make_record("rare"))


def test_the_next_line_of_a_code_reports_the_number_of_suppressed_lines() -> None:
    clock = FakeClock()
    limit = RateLimitFilter(max_lines=1, clock=clock)
    for _ in range(5):
        limit.filter(make_record("frequent"))

    clock.now = 1.0
    record = make_record("frequent")

    assert limit.filter(record)
    assert record.__dict__["left_out"] == 4
