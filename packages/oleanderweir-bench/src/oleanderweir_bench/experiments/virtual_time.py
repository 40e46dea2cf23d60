"""Runs that are the same each time for the same seed."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import TypeVar

import trio
from trio._core import _run
from trio.testing import MockClock


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator


Result = TypeVar("Result")


@contextmanager
def deterministic_scheduling(seed: int) -> Iterator[None]:
    """
    Make trio's scheduler repeat itself while the block runs.

    Trio shuffles tasks that are ready at the same moment and has no public switch
    for it; what its own hypothesis plugin sets is set here and put back afterwards.
    """
    previous = _run._ALLOW_DETERMINISTIC_SCHEDULING
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    _run._r.seed(seed)
    try:
        yield
    finally:
        _run._ALLOW_DETERMINISTIC_SCHEDULING = previous  # type: ignore[misc]


def run_in_virtual_time(
    function: Callable[[], Awaitable[Result]], *, seed: int
) -> Result:
    """Run a function under trio with a clock that jumps from event to event."""
    with deterministic_scheduling(seed):
        return trio.run(function, clock=MockClock(autojump_threshold=0.0))
