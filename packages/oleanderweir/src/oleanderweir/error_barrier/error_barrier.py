"""Keeps an unexpected error in the handling of one input from ending the process."""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType


logger = logging.getLogger(__name__)

# Interval between two log lines of one kind of error at one place.
LOG_INTERVAL_S = 60.0
# Kinds of errors that a barrier remembers.
MAX_KINDS = 32

# Unexpected errors of this process, by place. The tests require that it stays empty.
unexpected_errors: Counter[str] = Counter()


class ErrorBarrier:
    """
    A context in which one input, or one run of a timer, is handled.

    An unexpected error ends the context, and no more: it is counted, and logged with
    its stack once per kind and minute. Cancellations pass. What comes after the context
    must await something before the next input, so that a repeated error can't take the
    whole processor. ``clock`` returns monotonic time in seconds.
    """

    def __init__(
        self, *, place: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.place = place
        self.clock = clock
        # When each kind of error was last logged.
        self.logged_at: dict[type[Exception], float] = {}

    def __enter__(self) -> None:
        """Start handling an input."""

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """Report an unexpected error; return whether there was one."""
        if not isinstance(error, Exception):
            return False
        unexpected_errors[self.place] += 1
        self._log(error)
        return True

    def _log(self, error: Exception) -> None:
        """Log an error with its stack, unless its kind was logged just now."""
        now = self.clock()
        kind = type(error)
        if now - self.logged_at.get(kind, float("-inf")) < LOG_INTERVAL_S:
            return
        if len(self.logged_at) >= MAX_KINDS:
            self.logged_at.clear()
        self.logged_at[kind] = now
        logger.error(
            "an unexpected error; its input was dropped and the process goes on",
            exc_info=error,
            extra={
                "code": "unexpected_error",
                "place": self.place,
                "kind": kind.__name__,
                "count": unexpected_errors[self.place],
            },
        )
