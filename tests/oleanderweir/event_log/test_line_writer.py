from __future__ import annotations

import json
import logging
import os
from typing import TYPE_CHECKING

import pytest

from oleanderweir.event_log import JsonLineFormatter
from oleanderweir.event_log import LineWriter


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_writer(descriptor: int) -> LineWriter:
    writer = LineWriter(descriptor=descriptor)
    writer.setFormatter(JsonLineFormatter(instance="i1", availability_zone="a"))
    return writer


def make_record(**fields: object) -> logging.LogRecord:
    return logging.makeLogRecord(
        {"msg": "flow placed", "levelname": "INFO", "levelno": logging.INFO, **fields}
    )


def test_a_line_contains_the_extra_fields_of_the_record(pipe: tuple[int, int]) -> None:
    reader, descriptor = pipe

    make_writer(descriptor).emit(make_record(code="flow_placed", version=4))

    line = json.loads(os.read(reader, 4096))
    assert line["code"] == "flow_placed"
    assert line["version"] == 4
    assert line["instance"] == "i1"


def test_a_full_pipe_does_not_block_and_the_next_line_reports_dropped_lines(
    pipe: tuple[int, int],
) -> None:
    reader, descriptor = pipe
    writer = make_writer(descriptor)
    for _ in range(3000):
        writer.emit(make_record(code="flow_placed", padding="x" * 100))
    dropped = writer.dropped
    assert dropped > 0

    os.set_blocking(reader, False)
    while True:
        try:
            os.read(reader, 65536)
        except BlockingIOError:
            break
    writer.emit(make_record(code="stopped"))

    line = json.loads(os.read(reader, 4096).splitlines()[-1])
    assert line["dropped"] == dropped
    assert writer.dropped == 0
