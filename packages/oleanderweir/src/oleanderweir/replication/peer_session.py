"""One session with a peer, on either of its sides."""

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
    Exchanges changed entries with a peer and repairs missed ones.

    The side that dialled sends heartbeats and the other side replies to each, so both
    sides detect an unresponsive peer. ``peer`` and ``instance`` are set after the
    exchange of hellos. ``run`` raises the error that closed the session.
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
    queued_messages: deque[PeerMessage] = attrs.field(factory=deque)
    pending_entries: dict[EntryKey, Entry] = attrs.field(factory=dict)
    repair: SessionRepair = attrs.field(init=False)
    work_available: trio.Event = attrs.field(factory=trio.Event)
    failure: OleanderweirError | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self.repair = SessionRepair(session=self)

    async def run(self) -> None:
        """Run the session until it closes; raise the error that closed it."""
        await self._exchange_hellos()
        self.on_hello(self)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_part, self._send_messages)
                    if self.is_dialler:
                        nursery.start_soon(self._run_part, self._send_heartbeats)
                    await self._run_part(self._receive_messages)
        finally:
            self.repair.release_claims()
        if self.failure is not None:
            raise self.failure

    def push(self, entries: Iterable[Entry]) -> None:
        """Queue entries for the peer; only the last entry of each key is sent."""
        for entry in entries:
            self.pending_entries[entry.key] = entry
        self.work_available.set()

    def compare_registers(self) -> None:
        """Compare registers now if this side dialled."""
        if self.is_dialler:
            self.enqueue(self.heartbeat())

    def close(self, reason: str) -> None:
        """Close the session with a ``PeerClosedError``."""
        self.failure = self.failure or PeerClosedError(
            f"{reason}; the dialling side reconnects"
        )
        self.scope.cancel()

    def enqueue(self, message: PeerMessage) -> None:
        """Queue a message for sending."""
        self.queued_messages.append(message)
        self.work_available.set()

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this process."""
        digest = self.context.digest()
        return Heartbeat(
            digest=digest.content,
            floor=digest.floor,
            is_ready=self.context.boot_gate.is_ready,
        )

    async def _run_part(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run one part of the session; its error closes the session."""
        try:
            await part()
        except OleanderweirError as error:
            self.failure = self.failure or error
            self.scope.cancel()

    async def _exchange_hellos(self) -> None:
        """Send a hello and receive the peer's within the timeout."""
        with trio.move_on_after(self.context.settings.hello_timeout_s):
            await self._send(self.context.hello)
            message = await self._receive()
            if not isinstance(message, Hello):
                raise InvalidPeerMessageError(
                    f"peer sent {type(message).__name__} as its first message, "
                    "expected Hello"
                )
            self.peer = message
            self.instance = parse_hello(message)
            return
        raise PeerUnavailableError(
            "peer sent no hello within "
            f"{self.context.settings.hello_timeout_s} s; see its log"
        )

    async def _receive_messages(self) -> None:
        """Receive messages; raise ``PeerUnavailableError`` after the timeout."""
        timeout_s = self.context.settings.receive_timeout_s
        while True:
            with trio.move_on_after(timeout_s) as scope:
                message = await self._receive()
            if scope.cancelled_caught:
                raise PeerUnavailableError(f"received no message for {timeout_s} s")
            self._dispatch(message)

    def _dispatch(self, message: PeerMessage) -> None:
        """Call the handler of a message."""
        match message:
            case EntryBatch():
                self._merge_batch(message)
            case Heartbeat():
                self.repair.on_heartbeat(message)
            case BucketDigests():
                self.repair.on_bucket_digests(message)
            case BucketRequest():
                self.repair.on_bucket_request(message)
            case BucketContents():
                self.repair.on_bucket_contents(message)
            case Hello():
                raise InvalidPeerMessageError("peer sent a second Hello in one session")

    def _merge_batch(self, batch: EntryBatch) -> None:
        """Merge entries that the peer pushed."""
        entries = decode_entries(batch.entries)
        for entry in entries:
            # The peer has this entry, so the pending one is redundant.
            pending = self.pending_entries.get(entry.key)
            if pending is not None and pending.ticket <= entry.ticket:
                del self.pending_entries[entry.key]
        self.is_merging = True
        try:
            with self.context.updating_register() as register:
                register.merge(entries)
        finally:
            self.is_merging = False

    async def _send_heartbeats(self) -> None:
        """Compare registers periodically, more often while they differ."""
        settings = self.context.settings
        while True:
            self.enqueue(self.heartbeat())
            interval_s = settings.heartbeat_interval_s
            if not self.repair.is_synchronized and not self.repair.is_peer_booting:
                interval_s = settings.repair_interval_s
            await trio.sleep(interval_s * self.context.random.uniform(0.8, 1.0))

    async def _send_messages(self) -> None:
        """Send queued messages first, then changed entries, then whole buckets."""
        while True:
            await self._wait_for_messages()
            message = await self._next_message()
            if message is not None:
                await self.context.budget.wait()
                await self._send(message)

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

    async def _send(self, message: PeerMessage) -> None:
        """Send one message within the timeout."""
        data = self.context.codec.encode(message)
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="sent")
        timeout_s = self.context.settings.send_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            await self.stream.send(data)
        if scope.cancelled_caught:
            raise PeerUnavailableError(
                f"sending to the peer timed out after {timeout_s} s"
            )

    async def _receive(self) -> PeerMessage:
        """Receive one message."""
        data = await self.stream.receive()
        self.context.budget.charge(len(data) + FRAMING_BYTES, direction="received")
        return self.context.codec.decode(data)
