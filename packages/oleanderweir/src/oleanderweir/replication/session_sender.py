"""The messages that one session is to send."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication.messages import EntryBatch
from oleanderweir.replication.metrics import ENTRIES_PUSHED
from oleanderweir.replication.metrics import REPAIRS_DEFERRED
from oleanderweir.tickets import encode_entries


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.replication.message_stream import MessageStream
    from oleanderweir.replication.messages import PeerMessage
    from oleanderweir.replication.replication_context import ReplicationContext
    from oleanderweir.replication.session_repair import SessionRepair
    from oleanderweir.tickets import Entry
    from oleanderweir.tickets import EntryKey


ENTRIES_PER_BATCH = 50


@attrs.define(kw_only=True, eq=False)
class SessionSender:
    """
    Sends the messages of one session within the control budget.

    Queued messages go first, then changed entries, then the buckets that the repair
    is to send.
    """

    context: ReplicationContext
    messages: MessageStream
    repair: SessionRepair
    queued_messages: deque[PeerMessage] = attrs.field(factory=deque)
    pending_entries: dict[EntryKey, Entry] = attrs.field(factory=dict)
    work_available: trio.Event = attrs.field(factory=trio.Event)

    def enqueue(self, message: PeerMessage) -> None:
        """Queue a message for sending."""
        self.queued_messages.append(message)
        self.wake()

    def push(self, entries: Iterable[Entry]) -> None:
        """Queue entries for the peer; only the last entry of each key is sent."""
        for entry in entries:
            self.pending_entries[entry.key] = entry
        self.wake()

    def discard_known(self, entries: Iterable[Entry]) -> None:
        """Discard pending entries that the peer has, because it sent ``entries``."""
        for entry in entries:
            pending = self.pending_entries.get(entry.key)
            if pending is not None and pending.ticket <= entry.ticket:
                del self.pending_entries[entry.key]

    def wake(self) -> None:
        """Wake the task that sends."""
        self.work_available.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self._wait_for_messages()
            message = await self._next_message()
            if message is not None:
                await self.context.budget.wait()
                await self.messages.send(message)

    async def _wait_for_messages(self) -> None:
        """Wait for something to send; buckets also wait for the budget reserve."""
        if self.queued_messages or self.pending_entries:
            return
        delay_s = float("inf")
        if self.repair.buckets_to_send:
            budget = self.context.budget
            delay_s = budget.delay_s(reserve_bytes=budget.repair_reserve_bytes)
            if delay_s == 0:
                return
            REPAIRS_DEFERRED.inc()
        self.work_available = trio.Event()
        with trio.move_on_after(delay_s):
            await self.work_available.wait()

    async def _next_message(self) -> PeerMessage | None:
        """Return the next message to send, if any."""
        if self.queued_messages:
            return self.queued_messages.popleft()
        if self.pending_entries:
            # Waiting briefly collects entries that change together into one batch.
            await trio.sleep(self.context.settings.batch_delay_s)
            return self._next_batch()
        return self.repair.next_contents()

    def _next_batch(self) -> EntryBatch | None:
        """Remove the oldest pending entries and return them as a batch."""
        keys = list(self.pending_entries)[:ENTRIES_PER_BATCH]
        if not keys:
            return None
        entries = [self.pending_entries.pop(key) for key in keys]
        ENTRIES_PUSHED.inc(len(entries))
        return EntryBatch(entries=encode_entries(entries))
