"""One session with a peer, on either of its sides."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.exceptions import PeerClosedError
from oleanderweir.replication.exceptions import PeerUnavailableError
from oleanderweir.replication.hello_conversion import parse_hello
from oleanderweir.replication.message_stream import MessageStream
from oleanderweir.replication.messages import BucketContents
from oleanderweir.replication.messages import BucketDigests
from oleanderweir.replication.messages import BucketRequest
from oleanderweir.replication.messages import EntryBatch
from oleanderweir.replication.messages import Heartbeat
from oleanderweir.replication.messages import Hello
from oleanderweir.replication.session_repair import SessionRepair
from oleanderweir.replication.session_sender import SessionSender
from oleanderweir.tickets import decode_entries


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.replication.messages import PeerMessage
    from oleanderweir.replication.peer_stream import PeerStream
    from oleanderweir.replication.replication_context import ReplicationContext


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
    messages: MessageStream = attrs.field(init=False)
    repair: SessionRepair = attrs.field(init=False)
    sender: SessionSender = attrs.field(init=False)
    failure: OleanderweirError | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        self.messages = MessageStream(context=self.context, stream=self.stream)
        self.repair = SessionRepair(session=self)
        self.sender = SessionSender(
            context=self.context, messages=self.messages, repair=self.repair
        )

    async def run(self) -> None:
        """Run the session until it closes; raise the error that closed it."""
        await self._exchange_hellos()
        self.on_hello(self)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_part, self.sender.run)
                    if self.is_dialler:
                        nursery.start_soon(self._run_part, self._send_heartbeats)
                    await self._run_part(self._receive_messages)
        finally:
            self.repair.release_claims()
        if self.failure is not None:
            raise self.failure

    def compare_registers(self) -> None:
        """Compare registers now if this side dialled."""
        if self.is_dialler:
            self.sender.enqueue(self.heartbeat())

    def close(self, reason: str) -> None:
        """Close the session with a ``PeerClosedError``."""
        self.failure = self.failure or PeerClosedError(
            f"{reason}; the dialling side reconnects"
        )
        self.scope.cancel()

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this process."""
        digest = self.context.digest()
        return Heartbeat(
            digest=digest.content,
            floor=digest.floor,
            is_ready=self.context.boot_gate.is_ready,
        )

    @contextmanager
    def merging(self) -> Iterator[None]:
        """Mark the entries merged in the block as received from this peer."""
        self.is_merging = True
        try:
            yield
        finally:
            self.is_merging = False

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
            await self.messages.send(self.context.hello)
            message = await self.messages.receive()
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
                message = await self.messages.receive()
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
        self.sender.discard_known(entries)
        with self.merging(), self.context.updating_register() as register:
            register.merge(entries)

    async def _send_heartbeats(self) -> None:
        """Compare registers periodically, more often while they differ."""
        settings = self.context.settings
        while True:
            self.sender.enqueue(self.heartbeat())
            interval_s = settings.heartbeat_interval_s
            if not self.repair.is_synchronized and not self.repair.is_peer_booting:
                interval_s = settings.repair_interval_s
            await trio.sleep(interval_s * self.context.random.uniform(0.8, 1.0))
