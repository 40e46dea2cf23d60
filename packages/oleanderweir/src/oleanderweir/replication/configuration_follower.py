"""Reads published tickets from the configuration service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.metrics import CONFIGURATION_READS
from oleanderweir.replication.metrics import IS_READER
from oleanderweir.tickets import BootOutcome
from oleanderweir.tickets import BootSource


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.replication.replication_context import ReplicationContext
    from oleanderweir.replication.ticket_source import TicketSource
    from oleanderweir.tickets import Ticket


CURSOR_MARGIN_TICKETS = 200
READ_INTERVAL_MIN_S = 0.2

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class ConfigurationFollower:
    """
    Watches the configuration service as a reader, or else polls it.

    The polls don't depend on the readers, which may be cut off, or get old answers
    without knowing: the processes of a zone poll at different times, so that one of
    them soon finds a ticket that the readers miss, and pushes it to the others.

    A process that loses a session watches it for some time too: the readers may be lost
    with the peer, and nobody else notices that they are gone.

    ``cursor`` is the number of the last ticket that this process read from the service
    itself, or ``None`` until its first read. Tickets from peers do not advance the
    cursor, because earlier ones may still be missing. A process that fetched its state
    from peers starts ``CURSOR_MARGIN_TICKETS`` before their highest ticket; otherwise
    it reads the snapshot.
    """

    context: ReplicationContext
    source: TicketSource
    has_peer_state: Callable[[], bool]
    # Mean time between two polls, in seconds.
    poll_interval_s: Callable[[], float]
    is_reader: bool = False
    cursor: int | None = None
    # Until when this process watches although it is no reader, on trio's clock.
    watches_until: float = float("-inf")
    role_changed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Read from the service until cancelled, with backoff after failures."""
        backoff_s = self.context.settings.read_backoff_min_s
        while True:
            try:
                await self._run_once()
                backoff_s = self.context.settings.read_backoff_min_s
                await trio.sleep(READ_INTERVAL_MIN_S)
            except OleanderweirError as error:
                self._record_failure(error)
                await trio.sleep(backoff_s * self.context.random.uniform(0.5, 1.0))
                backoff_s = min(self.context.settings.read_backoff_max_s, backoff_s * 2)

    def set_reader(self, *, is_reader: bool) -> None:
        """Start or stop watching the service."""
        if is_reader == self.is_reader:
            return
        self.is_reader = is_reader
        IS_READER.set(is_reader)
        self.role_changed.set()
        self.role_changed = trio.Event()

    def watch_for(self, seconds: float) -> None:
        """Watch the service for some seconds from now on, at least."""
        must_wake = not self.must_watch
        self.watches_until = trio.current_time() + seconds
        if must_wake:
            self.role_changed.set()
            self.role_changed = trio.Event()

    @property
    def must_watch(self) -> bool:
        """Whether this process is a reader, or lost a session just now."""
        return self.is_reader or trio.current_time() < self.watches_until

    async def _run_once(self) -> None:
        """Boot, watch for tickets, or wait for the next poll and read."""
        if self.cursor is None:
            await self._boot()
        elif self.must_watch:
            await self._watch(self.cursor)
        else:
            await self._wait_for_poll()
            if not self.must_watch:
                await self._read(self.cursor)

    async def _boot(self) -> None:
        """Read the snapshot, or recent tickets if peers have sent the state."""
        if self.has_peer_state():
            highest = self.context.register.highest_ticket
            await self._read(max(0, highest - CURSOR_MARGIN_TICKETS))
        else:
            await self._read_snapshot()
        self.context.boot_gate.record(
            BootSource.CONFIGURATION_SERVICE, BootOutcome.MERGED
        )

    async def _read_snapshot(self) -> None:
        """Read the whole published state."""
        snapshot = await self.source.read_snapshot()
        CONFIGURATION_READS.labels(kind="snapshot", outcome="ok").inc()
        with self.context.updating_register() as register:
            register.merge_snapshot(snapshot)
        self.cursor = snapshot.highest_ticket

    async def _watch(self, after: int) -> None:
        """Wait for the next tickets."""
        tickets = await self.source.watch_tickets(after)
        CONFIGURATION_READS.labels(kind="watch", outcome="ok").inc()
        self._merge(after, tickets)

    async def _read(self, after: int) -> None:
        """Read the tickets after a number, page by page."""
        while True:
            tickets = await self.source.read_tickets(after)
            CONFIGURATION_READS.labels(kind="tickets", outcome="ok").inc()
            self._merge(after, tickets)
            if not tickets:
                return
            after = tickets[-1].number

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll or a change of the role."""
        # From zero, so that processes that start together don't leave a gap together.
        delay_s = self.poll_interval_s() * self.context.random.uniform(0.0, 2.0)
        with trio.move_on_after(delay_s):
            await self.role_changed.wait()

    def _merge(self, after: int, tickets: Sequence[Ticket]) -> None:
        """Merge tickets into the register and advance the cursor."""
        entries = [entry for ticket in tickets for entry in ticket.entries]
        with self.context.updating_register() as register:
            register.merge(entries)
        self.cursor = max([after, *(ticket.number for ticket in tickets)])

    def _record_failure(self, error: OleanderweirError) -> None:
        """Record a failed read; while booting, also record it at the boot gate."""
        CONFIGURATION_READS.labels(kind="any", outcome=error.code).inc()
        logger.warning(
            "cannot read from the configuration service: %s",
            error,
            extra={"code": error.code},
        )
        if self.cursor is None:
            self.context.boot_gate.record(
                BootSource.CONFIGURATION_SERVICE, BootOutcome.UNAVAILABLE
            )
