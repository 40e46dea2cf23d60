"""Keeps a topic of the register up to date with the source."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state.exceptions import HistoryLostError
from oleanderweir.desired_state.exceptions import SourceUnavailableError
from oleanderweir.error_barrier import ErrorBarrier


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir.desired_state.reader_status import ReaderStatus
    from oleanderweir.desired_state.state_register import StateRegister
    from oleanderweir.desired_state.state_source import StateSource
    from oleanderweir.desired_state.topic import Changes
    from oleanderweir.desired_state.topic import Topic


logger = logging.getLogger(__name__)

# Maximum wait of one watch. Its answer may be lost without an error.
WATCH_WAIT_S = 28.0
# The same at a reader. The other processes learn of each change from the readers, so
# that it arrives in time even if the answers to all watches were lost.
READER_WATCH_WAIT_S = 1.4
# Maximum wait of the first watch after a pause or a failure.
FIRST_WATCH_WAIT_S = 0.1
# Delay between a watch that returned changes and the next one. Changes come in bursts,
# and this delay limits the number of calls.
BATCHING_DELAY_S = 0.2
# A response that comes later than this after the end of a watch's wait may have been
# held up on its way.
MAX_RESPONSE_DELAY_S = 0.3
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


class StateFollower:
    """
    Lists a topic once, then watches it; lists it again when its history is lost.

    Failed calls are retried with exponential backoff and jitter, up to ``MAX_RETRY_S``.
    So are listings while the history is lost again before any watch succeeds. After the
    first listing, the topic is only read while ``status.should_read`` is set.
    ``reader_status`` tells whether the process is a reader, on which its peers rely.
    ``on_changes`` receives the changes of each watch, and the lowest revision at which
    another process has missed none before them.
    """

    def __init__(
        self,
        *,
        topic: Topic,
        source: StateSource,
        register: StateRegister,
        status: ReaderStatus,
        reader_status: ReaderStatus,
        on_changes: Callable[[Changes, int], None],
        random_source: random.Random,
    ) -> None:
        self.topic = topic
        self.source = source
        self.register = register
        self.random_source = random_source
        self.status = status
        self.reader_status = reader_status
        self.on_changes = on_changes
        self.is_outage_logged = False
        self.must_list = True
        self.retry_s = FIRST_RETRY_S
        # Whether the history was lost since the last successful watch.
        self.is_history_lost = False
        # Called when the history was lost or the source answers again: the watches of
        # other topics may have lost their history or connection without an error. Also
        # called when the process becomes a reader, whose watches are shorter.
        self.on_watch_lost: Callable[[], None] = lambda: None
        # Called with the topic and the time at which its state was that of the source.
        self.on_response: Callable[[Topic, float], None] = lambda _, __: None
        self.watch_scope = trio.CancelScope()
        self.is_interrupted = False
        self.barrier = ErrorBarrier(place=f"source_{topic.value}")

    def interrupt_watch(self) -> None:
        """End a waiting watch; the next one is short and tells what was missed."""
        self.is_interrupted = True
        self.watch_scope.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            with self.barrier:
                await self._step_or_back_off()
                continue
            await self._sleep_before_retry()

    async def _step_or_back_off(self) -> None:
        """Make one call to the source, and wait before the next one if it failed."""
        try:
            await self._step()
        except HistoryLostError as error:
            await self._on_history_lost(error)
        except SourceUnavailableError as error:
            await self._back_off(error)

    async def _step(self) -> None:
        """Make one call to the source and apply its result."""
        if not self.status.should_read and not self.must_list:
            await self._wait_to_read()
        elif self.must_list:
            called_at = trio.current_time()
            listing = await self.source.list(self.topic)
            self.register.apply_listing(listing, origin="source")
            self.must_list = False
            self._on_success(proved_at=called_at)
        else:
            await self._watch()

    async def _wait_to_read(self) -> None:
        """Wait until this process reads the topic."""
        self.status.is_connected = False
        await self.status.wait_to_read()
        self._report_lost_watch()

    async def _watch(self) -> None:
        """Watch the topic once and apply the changes."""
        wait_s = self._next_wait_s()
        self.is_interrupted = False
        called_at = trio.current_time()
        with trio.CancelScope() as self.watch_scope:
            changes = await self.source.watch(
                self.topic,
                after=self.register.revision(self.topic),
                wait_s=wait_s,
            )
        if self.watch_scope.cancelled_caught:
            return
        self.is_history_lost = False
        base = self.register.base_revision(self.topic)
        self.register.apply_changes(changes, origin="source")
        self.on_changes(changes, base)
        now = trio.current_time()
        is_late = now - called_at > wait_s + MAX_RESPONSE_DELAY_S
        self._on_success(proved_at=called_at if is_late else now)
        if changes.changes:
            await trio.sleep(BATCHING_DELAY_S)

    def _next_wait_s(self) -> float:
        """Return the maximum wait of the next watch."""
        if self.is_interrupted or not self.status.is_connected:
            # It soon sets ``is_connected``, on which peers rely.
            return FIRST_WATCH_WAIT_S
        is_reader = self.reader_status.should_read
        return READER_WATCH_WAIT_S if is_reader else WATCH_WAIT_S

    async def _on_history_lost(self, error: HistoryLostError) -> None:
        """List the topic next: at once the first time, then with backoff."""
        logger.warning(
            "the source no longer has the changes; listing again",
            extra={
                "code": error.code,
                "topic": self.topic.value,
                "revision": self.register.revision(self.topic),
                "reason": error.message,
            },
        )
        self.must_list = True
        self._report_lost_watch()
        if self.is_history_lost:
            await self._sleep_before_retry()
        self.is_history_lost = True

    def _report_lost_watch(self) -> None:
        """Have the watches of other topics checked; this one has just ended."""
        self.on_watch_lost()
        self.is_interrupted = False

    def _on_success(self, *, proved_at: float) -> None:
        """Report a response, which proves the state as of ``proved_at``."""
        self.on_response(self.topic, proved_at)
        if not self.is_history_lost:
            self.retry_s = FIRST_RETRY_S
        self.status.is_connected = True
        if not self.is_outage_logged:
            return
        self.is_outage_logged = False
        logger.info(
            "connection to the source restored",
            extra={"code": "source_regained", "topic": self.topic.value},
        )
        self._report_lost_watch()

    async def _back_off(self, error: SourceUnavailableError) -> None:
        """Log the outage once, then wait before the next call."""
        if not self.is_outage_logged:
            logger.warning(
                "source unavailable; retrying with backoff",
                extra={
                    "code": error.code,
                    "topic": self.topic.value,
                    "reason": error.message,
                },
            )
        self.is_outage_logged = True
        self.status.is_connected = False
        await self._sleep_before_retry()

    async def _sleep_before_retry(self) -> None:
        """Wait before the next call, twice as long each time."""
        await trio.sleep(self.retry_s * self.random_source.uniform(0.5, 1.0))
        self.retry_s = min(self.retry_s * 2, MAX_RETRY_S)
