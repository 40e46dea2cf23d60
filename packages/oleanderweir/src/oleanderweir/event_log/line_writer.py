"""Writes log lines without blocking."""

from __future__ import annotations

import logging
import os


class LineWriter(logging.Handler):
    """
    Writes log records to a non-blocking file descriptor.

    A line that doesn't fit into the pipe is dropped and counted in ``dropped``; the
    next written line reports the count. After a partial write, a line break ends the
    truncated line before the next one.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.is_line_truncated = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if self.dropped:
            record.dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        if self.is_line_truncated:
            line = b"\n" + line
        try:
            written = os.write(self.descriptor, line)
        except OSError:
            # The reader is slow or has closed its end; only the count is kept.
            self.dropped += 1
            return
        self.is_line_truncated = written < len(line)
        self.dropped = 1 if self.is_line_truncated else 0
