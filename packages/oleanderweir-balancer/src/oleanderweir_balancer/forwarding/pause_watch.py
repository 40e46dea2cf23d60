"""Notices pauses of this process, in which packets wait unread in its socket."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


# Interval between two calls of ``tick``.
TICK_INTERVAL_S = 0.2
# Delay of a tick that counts as a pause of the process.
MIN_PAUSE_S = 0.1
# Packets may have waited at least this long when the process starts to read.
STARTUP_S = 0.2


class PauseWatch:
    """
    Tells for how long the packets of a socket may have waited when they are read.

    They wait while the process starts, gets no processor, or is suspended with its
    machine. ``clock`` returns seconds and counts the time of a suspension.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        # When the process last ran.
        self.ran_at = clock()
        # Since when packets may have waited; None once the socket was read empty.
        self.unread_since: float | None = self.ran_at - STARTUP_S
        self.has_read_since_tick = False

    def tick(self) -> None:
        """Record that the process runs; call it every ``TICK_INTERVAL_S``."""
        is_paused = self._update()
        if not is_paused and not self.has_read_since_tick:
            # The process ran for a whole interval, and there was nothing to read.
            self.unread_since = None
        self.has_read_since_tick = False

    def on_read(self, *, is_empty: bool) -> float:
        """
        Return for how many seconds packets that were just read may have waited.

        ``is_empty`` tells whether the socket has no more packets. The result is 0 if
        the process has read all packets at once since its last pause.
        """
        self._update()
        self.has_read_since_tick = True
        if self.unread_since is None:
            return 0.0
        waited_s = self.ran_at - self.unread_since
        if is_empty:
            self.unread_since = None
        return waited_s

    def _update(self) -> bool:
        """Record that the process runs; return whether it was paused before."""
        now = self.clock()
        is_paused = now - self.ran_at > TICK_INTERVAL_S + MIN_PAUSE_S
        if is_paused and self.unread_since is None:
            self.unread_since = self.ran_at
        self.ran_at = now
        return is_paused
