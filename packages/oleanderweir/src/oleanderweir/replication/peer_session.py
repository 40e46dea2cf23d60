"""One session with a peer, run alike on both of its ends."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.exceptions import PeerClosedError
from oleanderweir.replication.exceptions import PeerUnavailableError
from oleanderweir.replication.hello_conversion import parse_hello
from oleanderweir.replication.messages import BucketContents
from oleanderweir.replication.messages import BucketDigests
from oleanderweir.replication.messages import BucketRequest
from oleanderweir.replication.messages import EntryBatch
from oleanderweir.replication.messages import Heartbeat
from oleanderweir.replication.messages import Hello
from oleanderweir.replication.metrics import ENTRIES_PUSHED
from oleanderweir.replication.metrics import REPAIRS_DEFERRED
from oleanderweir.replication.session_repair import SessionRepair
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.replication.messages import PeerMessage
    from oleanderweir.replication.peer_stream import PeerStream
    from oleanderweir.replication.replication_context import ReplicationContext
    from oleanderweir.tickets import Entry
    from oleanderweir.tickets import EntryKey


FRAMING_BYTES = 120
ENTRIES_PER_BATCH = 50


@attrs.define(kw_only=True, eq=False)
class PeerSession:
    """
    Pushes changes to a peer, takes the peer's, and repairs what was missed.

    The side that dialled sends heartbeats; each is answered, so either side notices a
    silent peer. ``peer`` and ``instance`` are known after the greeting. ``run``
    ends by the error that ended the session.
    """

    context: ReplicationContext
    stream: PeerStream
    is_dialler: bool
    on_hello: Callable[[PeerSession], None]
    on_synchronized: Callable[[PeerSession], None]
    peer: Hello | None = None
    instance: InstanceRecord | None = None
    is_peer_ready: bool = False
    is_merging: bool = False
    replies: deque[PeerMessage] = attrs.field(factory=deque)
    outbox: dict[EntryKey, Entry] = attrs.field(factory=dict)
    repair: SessionRepair = attrs.field(init=False)
    wake: trio.Event = attrs.field(factory=trio.Event)
    failure: OleanderweirError | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self.repair = SessionRepair(session=self)

    async def run(self) -> None:
        """Run the session to its end; raise the error that ended it."""
        await self._greet()
        self.on_hello(self)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._guard, self._write)
                    if self.is_dialler:
                        nursery.start_soon(self._guard, self._send_heartbeats)
                    await self._guard(self._read)
        finally:
            self.repair.abandon()
        if self.failure is not None:
            raise self.failure

    def push(self, entries: Iterable[Entry]) -> None:
        """Send entries to the peer soon; a newer entry of a key replaces an older."""
        for entry in entries:
            self.outbox[entry.key] = entry
        self.wake.set()

    def compare(self) -> None:
        """Compare registers now, if this side dialled."""
        if self.is_dialler:
            self.reply(self.heartbeat())

    def end(self, reason: str) -> None:
        """End the session."""
        self.failure = self.failure or PeerClosedError(f"{reason}; dialling goes on")
        self.scope.cancel()

    def reply(self, message: PeerMessage) -> None:
        """Send a message soon."""
        self.replies.append(message)
        self.wake.set()

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that describes this process now."""
        digest = self.context.digest()
        return Heartbeat(
            digest=digest.content,
            floor=digest.floor,
            is_ready=self.context.boot_gate.is_ready,
        )

    async def _guard(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run one part of the session; an error of it ends the whole."""
        try:
            await part()
        except OleanderweirError as error:
            self.failure = self.failure or error
            self.scope.cancel()

    async def _greet(self) -> None:
        """Exchange greetings within their timeout."""
        with trio.move_on_after(self.context.settings.hello_timeout_s):
            await self._send(self.context.hello)
            message = await self._receive()
            if not isinstance(message, Hello):
                raise InvalidPeerMessageError("a peer spoke before its greeting")
            self.peer = message
            self.instance = parse_hello(message)
            return
        raise PeerUnavailableError("a peer didn't greet in time; see its log")

    async def _read(self) -> None:
        """Take the peer's messages."""
        timeout_s = self.context.settings.receive_timeout_s
        while True:
            with trio.move_on_after(timeout_s) as scope:
                message = await self._receive()
            if scope.cancelled_caught:
                raise PeerUnavailableError(f"a peer was silent for {timeout_s} s")
            self._handle(message)

    def _handle(self, message: PeerMessage) -> None:
        """Act on one message."""
        match message:
            case EntryBatch():
                self._merge(message)
            case Heartbeat():
                self.repair.take_heartbeat(message)
            case BucketDigests():
                self.repair.take_digests(message)
            case BucketRequest():
                self.repair.take_request(message)
            case BucketContents():
                self.repair.take_contents(message)
            case Hello():
                raise InvalidPeerMessageError("a peer greeted twice")

    def _merge(self, batch: EntryBatch) -> None:
        """Merge entries that the peer pushed."""
        entries = decode_entries(batch.entries)
        for entry in entries:
            # The peer holds this entry; sending it back would be a duplicate.
            pending = self.outbox.get(entry.key)
            if pending is not None and pending.ticket <= entry.ticket:
                del self.outbox[entry.key]
        self.is_merging = True
        try:
            with self.context.updating_register() as register:
                register.merge(entries)
        finally:
            self.is_merging = False

    async def _send_heartbeats(self) -> None:
        """Compare registers at an interval, sooner while they differ."""
        settings = self.context.settings
        while True:
            self.reply(self.heartbeat())
            interval_s = settings.heartbeat_interval_s
            if not self.repair.is_synchronized and not self.repair.is_left_to_boot:
                interval_s = settings.repair_interval_s
            await trio.sleep(interval_s * self.context.random.uniform(0.8, 1.0))

    async def _write(self) -> None:
        """Send what waits: replies first, then changes, then whole buckets."""
        while True:
            await self._wait_for_work()
            message = await self._next_message()
            if message is not None:
                await self.context.budget.wait()
                await self._send(message)

    async def _wait_for_work(self) -> None:
        """Return when something may be sent."""
        if self.replies or self.outbox:
            return
        delay_s = float("inf")
        if self.repair.requested:
            budget = self.context.budget
            delay_s = budget.delay_s(reserve_bytes=budget.repair_reserve_bytes)
            if delay_s == 0:
                return
            REPAIRS_DEFERRED.inc()
        self.wake = trio.Event()
        with trio.move_on_after(delay_s):
            await self.wake.wait()

    async def _next_message(self) -> PeerMessage | None:
        """Return what is to be sent next."""
        if self.replies:
            return self.replies.popleft()
        if self.outbox:
            # Changes that arrive together travel together.
            await trio.sleep(self.context.settings.batch_delay_s)
            return self._next_batch()
        return self.repair.next_contents()

    def _next_batch(self) -> EntryBatch | None:
        """Take the oldest entries out of the outbox."""
        keys = list(self.outbox)[:ENTRIES_PER_BATCH]
        if not keys:
            return None
        entries = [self.outbox.pop(key) for key in keys]
        ENTRIES_PUSHED.inc(len(entries))
        return EntryBatch(entries=encode_entries(entries))

    async def _send(self, message: PeerMessage) -> None:
        """Send one message within its timeout."""
        data = self.context.codec.encode(message)
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="sent")
        timeout_s = self.context.settings.send_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            await self.stream.send(data)
        if scope.cancelled_caught:
            raise PeerUnavailableError(f"a peer took no bytes for {timeout_s} s")

    async def _receive(self) -> PeerMessage:
        """Receive one message."""
        data = await self.stream.receive()
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="received")
        return self.context.codec.decode(data)
