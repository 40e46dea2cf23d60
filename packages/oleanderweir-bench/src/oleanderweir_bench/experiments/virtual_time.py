"""Reproducible runs in virtual time."""

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
    Make trio's scheduling order depend on the seed only within the block.

    Trio shuffles tasks that become ready at the same time and has no public option to
    control this. The private flag that its hypothesis plugin uses is set and restored.
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
    """Run an async function with trio and a clock that skips idle time."""
    with deterministic_scheduling(seed):
        return trio.run(function, clock=MockClock(autojump_threshold=0.0))
