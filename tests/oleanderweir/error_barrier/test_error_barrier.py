from __future__ import annotations

import pytest
import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.error_barrier import unexpected_errors


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.unexpected_errors
def test_an_unexpected_error_is_counted_and_logged_once_a_minute(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = Clock()
    barrier = ErrorBarrier(place="datagram", clock=clock)

    for _ in range(3):
        with barrier:
            raise RecursionError("deep")
    clock.now += 61.0
    with barrier:
        raise RecursionError("deep")

    assert unexpected_errors["datagram"] == 4
    assert [vars(record)["count"] for record in caplog.records] == [1, 4]
    assert all(record.exc_info for record in caplog.records)


@pytest.mark.unexpected_errors
def test_each_kind_of_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    barrier = ErrorBarrier(place="datagram")

    for error in (ValueError("a"), KeyError("b")):
        with barrier:
            raise error

    kinds = [vars(record)["kind"] for record in caplog.records]
    assert kinds == ["ValueError", "KeyError"]


async def test_a_cancellation_passes() -> None:
    with trio.CancelScope() as scope:
        scope.cancel()
        with ErrorBarrier(place="datagram"):
            await trio.sleep_forever()

    assert scope.cancelled_caught
    assert not unexpected_errors


def test_a_successful_input_counts_for_nothing() -> None:
    with ErrorBarrier(place="datagram"):
        pass

    assert not unexpected_errors
