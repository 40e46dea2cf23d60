from __future__ import annotations

import io
import json
import logging
from typing import TYPE_CHECKING

import pytest

from oleanderweir.logs import RepeatFilter
from oleanderweir.logs.configure_logging import configure_logging
from oleanderweir.logs.repeat_filter import MAX_KEYS
from oleanderweir.logs.repeat_filter import MAX_MESSAGES_PER_WINDOW
from oleanderweir.logs.repeat_filter import WINDOW_S
from tests.oleanderweir.helpers import FakeClock
from tests.oleanderweir.settings.builders import build_settings


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def logger() -> Iterator[logging.Logger]:
    logger = logging.getLogger("tests.repeat_filter")
    logger.propagate = False
    logger.setLevel(logging.DEBUG)
    yield logger
    logger.handlers = []


def attach(
    logger: logging.Logger, clock: FakeClock
) -> tuple[RepeatFilter, io.StringIO]:
    stream = io.StringIO()
    repeat_filter = RepeatFilter(clock=clock)
    handler = logging.StreamHandler(stream)
    handler.addFilter(repeat_filter)
    logger.handlers = [handler]
    return repeat_filter, stream


@pytest.mark.parametrize("level", [logging.INFO, logging.WARNING, logging.ERROR])
def test_repeated_messages_are_suppressed_and_counted(
    level: int, logger: logging.Logger
) -> None:
    clock = FakeClock(now=100.0)
    repeat_filter, stream = attach(logger, clock)

    for peer in range(100):
        logger.log(level, "peer %d is unresponsive", peer)
    assert len(stream.getvalue().splitlines()) == MAX_MESSAGES_PER_WINDOW
    assert repeat_filter.suppressed_total == 100 - MAX_MESSAGES_PER_WINDOW

    clock.now += WINDOW_S
    repeat_filter.report_suppressed()
    assert stream.getvalue().splitlines()[-1] == (
        "suppressed 95 more messages, the last: peer 99 is unresponsive"
    )


def test_a_new_window_reports_the_previous_one_and_passes_messages(
    logger: logging.Logger,
) -> None:
    clock = FakeClock(now=100.0)
    _, stream = attach(logger, clock)
    for _ in range(MAX_MESSAGES_PER_WINDOW + 1):
        logger.warning("late")

    clock.now += WINDOW_S
    logger.warning("late")

    assert stream.getvalue().splitlines()[-2:] == [
        "suppressed 1 more messages, the last: late",
        "late",
    ]


def test_debug_messages_and_other_codes_pass(logger: logging.Logger) -> None:
    _, stream = attach(logger, FakeClock(now=100.0))

    for _ in range(20):
        logger.debug("routine")
    for code in ("a", "b"):
        logger.error("same words", extra={"code": code})

    assert len(stream.getvalue().splitlines()) == 22


def test_messages_beyond_the_key_limit_pass_and_memory_is_bounded(
    logger: logging.Logger,
) -> None:
    repeat_filter, stream = attach(logger, FakeClock(now=100.0))

    for number in range(MAX_KEYS + 10):
        logger.error(f"kind {number}")

    assert len(repeat_filter.windows) == MAX_KEYS
    assert len(stream.getvalue().splitlines()) == MAX_KEYS + 10


def test_lines_are_json_with_instance_and_availability_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "level", root.level)
    stream = io.StringIO()

    configure_logging(settings=build_settings(), stream=stream)
    logging.getLogger("a.b").warning("full", extra={"code": "queue_full"})
    line = json.loads(stream.getvalue())

    assert line.pop("time").endswith("+00:00")
    assert line == {
        "level": "WARNING",
        "logger": "a.b",
        "message": "full",
        "code": "queue_full",
        "instance": "node-1",
        "availability_zone": "scl-a",
    }
