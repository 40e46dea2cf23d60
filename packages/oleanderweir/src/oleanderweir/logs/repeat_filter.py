"""Suppresses repeated log messages."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from oleanderweir.logs.repeat_window import RepeatKey
from oleanderweir.logs.repeat_window import RepeatWindow


if TYPE_CHECKING:
    from collections.abc import Callable


WINDOW_S = 10.0
MAX_MESSAGES_PER_WINDOW = 5
MAX_KEYS = 1024


class RepeatFilter(logging.Filter):
    """
    Passes the first messages of each key in a window and counts the suppressed ones.

    No count is lost: ``report_suppressed`` logs it once the window has expired, or at
    once with ``is_final``. ``clock`` returns monotonic time in seconds. Messages below
    INFO always pass, and so do messages of new keys while ``MAX_KEYS`` windows are
    open.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.windows: OrderedDict[RepeatKey, RepeatWindow] = OrderedDict()
        self.suppressed_total = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is logged."""
        if record.levelno < logging.INFO or hasattr(record, "suppressed"):
            return True
        window = self._get_window(record)
        if window is None:
            return True
        if window.passed < MAX_MESSAGES_PER_WINDOW:
            window.passed += 1
            return True
        window.suppressed += 1
        window.last_message = record.getMessage()
        self.suppressed_total += 1
        return False

    def report_suppressed(self, *, is_final: bool = False) -> None:
        """Log the number of suppressed messages of each expired window."""
        now = self.clock()
        expired = [
            key
            for key, window in self.windows.items()
            if is_final or now - window.started_at >= WINDOW_S
        ]
        for key in expired:
            window = self.windows.pop(key)
            if window.suppressed > 0:
                self._log_suppressed(key, window)

    def _get_window(self, record: logging.LogRecord) -> RepeatWindow | None:
        """Return the window of a record, or ``None`` if there are too many keys."""
        key = RepeatKey(
            logger_name=record.name,
            level=record.levelno,
            code=getattr(record, "code", None) or "",
            template=str(record.msg),
        )
        if key in self.windows and self._is_expired(self.windows[key]):
            self.report_suppressed()
        if key not in self.windows and len(self.windows) >= MAX_KEYS:
            self.report_suppressed()
            if len(self.windows) >= MAX_KEYS:
                return None
        return self.windows.setdefault(key, RepeatWindow(started_at=self.clock()))

    def _is_expired(self, window: RepeatWindow) -> bool:
        return self.clock() - window.started_at >= WINDOW_S

    def _log_suppressed(self, key: RepeatKey, window: RepeatWindow) -> None:
        """Log the number of suppressed messages of one window."""
        logging.getLogger(key.logger_name).log(
            key.level,
            "suppressed %d more messages, the last: %s",
            window.suppressed,
            window.last_message,
            extra={"code": key.code or None, "suppressed": window.suppressed},
        )
