"""Writes log lines without ever waiting."""

from __future__ import annotations

import logging
import os


class LineWriter(logging.Handler):
    """
    Writes each record to a file descriptor that doesn't block.

    A line that the reader has no room for is dropped and counted in ``dropped``; the
    next line that fits tells the count. A line that was cut is ended on its own.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.is_line_truncated = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if self.dropped:
            record.dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        if self.is_line_truncated:
            line = b"\n" + line
        try:
            written = os.write(self.descriptor, line)
        except OSError:
            # The reader is slow or gone; the count is all that can be kept.
            self.dropped += 1
            return
        self.is_line_truncated = written < len(line)
        self.dropped = 1 if self.is_line_truncated else 0
