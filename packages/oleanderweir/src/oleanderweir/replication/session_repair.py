"""Comparison and repair of registers within one session."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication.bucket_claims import BUCKETS_PER_REQUEST
from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.messages import BucketContent
from oleanderweir.replication.messages import BucketContents
from oleanderweir.replication.messages import BucketDigests
from oleanderweir.replication.messages import BucketRequest
from oleanderweir.replication.metrics import BUCKETS_REPAIRED
from oleanderweir.replication.metrics import REPAIRS_SKIPPED
from oleanderweir.tickets import BUCKET_COUNT
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.replication.messages import Heartbeat
    from oleanderweir.replication.peer_session import PeerSession
    from oleanderweir.replication.replication_context import ReplicationContext


@attrs.define(kw_only=True, eq=False)
class SessionRepair:
    """
    The anti-entropy of one session.

    The dialling side sends the digest of its register. The other side replies with its
    own digest, or with its bucket digests if the registers differ. The dialling side
    then fetches and merges the differing buckets, and sends back those that still
    differ.
    """

    session: PeerSession
    is_synchronized: bool = False
    differing_buckets: deque[int] = attrs.field(factory=deque)
    peer_digests: tuple[int, ...] = ()
    claimed_buckets: tuple[int, ...] = ()
    buckets_to_send: deque[int] = attrs.field(factory=deque)

    @property
    def context(self) -> ReplicationContext:
        """The state that the sessions of the process share."""
        return self.session.context

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Compare the digests of both registers, and reply if the peer dialled."""
        self.session.is_peer_ready = heartbeat.is_ready
        own_digest = self.context.digest()
        is_equal = heartbeat.digest == own_digest.content
        if is_equal and heartbeat.floor > own_digest.floor:
            with self.context.updating_register() as register:
                register.adopt_floor(heartbeat.floor, register.bucket_digests())
        if not self.session.is_dialler:
            self._reply_to_heartbeat(is_equal=is_equal)
        self._record_comparison(is_equal)

    def _reply_to_heartbeat(self, *, is_equal: bool) -> None:
        """Reply to a heartbeat of the dialling side."""
        if is_equal or self._is_settling() or self._is_only_self_booting():
            self.session.sender.enqueue(self.session.heartbeat())
            return
        register = self.context.register
        self.session.sender.enqueue(
            BucketDigests(
                digests=register.bucket_digests(),
                floor=self.context.digest().floor,
                is_ready=self.context.boot_gate.is_ready,
            )
        )

    def _is_only_self_booting(self) -> bool:
        """Whether only this process boots; a ready peer does not repair with it."""
        return self.session.is_peer_ready and not self.context.boot_gate.is_ready

    def _is_settling(self) -> bool:
        """Whether a recent change that is still propagating explains a difference."""
        if not self.context.boot_gate.is_ready:
            return False
        age_s = trio.current_time() - self.context.changed_at
        if age_s >= self.context.settings.settle_time_s:
            return False
        REPAIRS_SKIPPED.labels(reason="settling").inc()
        return True

    def on_bucket_digests(self, message: BucketDigests) -> None:
        """Find the differing buckets and request the first of them."""
        if len(message.digests) != BUCKET_COUNT:
            raise InvalidPeerMessageError(
                f"peer sent {len(message.digests)} bucket digests, "
                f"expected {BUCKET_COUNT}; run one version on all instances"
            )
        self.session.is_peer_ready = message.is_ready
        self.is_synchronized = False
        if self.claimed_buckets or self._is_repair_skipped():
            return
        self.peer_digests = message.digests
        self.differing_buckets = deque(
            self._find_differing(message.digests, message.floor)
        )
        # A random start lets processes that boot together fetch different buckets.
        self.differing_buckets.rotate(self.context.random.randrange(BUCKET_COUNT))
        self._request_next()

    @property
    def is_peer_booting(self) -> bool:
        """Whether only the peer boots; it fetches the state from ready peers itself."""
        return self.context.boot_gate.is_ready and not self.session.is_peer_ready

    def _is_repair_skipped(self) -> bool:
        """Whether no repair is needed yet because a boot may remove the difference."""
        if self.is_peer_booting:
            # The peer fetches the state itself; sending it here would duplicate it.
            REPAIRS_SKIPPED.labels(reason="peer_booting").inc()
            return True
        if self.context.boot_gate.is_ready or self.session.is_peer_ready:
            return False
        age_s = trio.current_time() - self.context.started_at
        if age_s >= self.context.settings.booting_peer_delay_s:
            return False
        # Both sides boot: first allow time to fetch the state from a ready peer.
        REPAIRS_SKIPPED.labels(reason="both_booting").inc()
        return True

    def _find_differing(self, digests: Sequence[int], floor: int) -> tuple[int, ...]:
        """Return the differing buckets; adopt a higher floor in the equal ones."""
        if floor > self.context.digest().floor:
            with self.context.updating_register() as register:
                return register.adopt_floor(floor, digests)
        own_digests = self.context.register.bucket_digests()
        return tuple(n for n in range(BUCKET_COUNT) if own_digests[n] != digests[n])

    def _request_next(self) -> None:
        """Request the next buckets, or compare again if none is left."""
        own_digests = self.context.register.bucket_digests()
        # Other sessions may have fetched some of these buckets in the meantime.
        self.differing_buckets = deque(
            bucket
            for bucket in self.differing_buckets
            if own_digests[bucket] != self.peer_digests[bucket]
        )
        self.claimed_buckets = self.context.bucket_claims.claim(self.differing_buckets)
        for bucket in self.claimed_buckets:
            self.differing_buckets.remove(bucket)
        if self.claimed_buckets:
            self.session.sender.enqueue(BucketRequest(buckets=self.claimed_buckets))
        elif not self.differing_buckets:
            self.session.sender.enqueue(self.session.heartbeat())

    def on_bucket_request(self, request: BucketRequest) -> None:
        """Queue the requested buckets, at most ``BUCKETS_PER_REQUEST``."""
        if not all(0 <= number < BUCKET_COUNT for number in request.buckets):
            raise InvalidPeerMessageError(
                "peer requested an unknown bucket, "
                f"valid numbers are 0 to {BUCKET_COUNT - 1}"
            )
        for number in request.buckets[:BUCKETS_PER_REQUEST]:
            if number not in self.buckets_to_send:
                self.buckets_to_send.append(number)
        self.session.sender.wake()

    def next_contents(self) -> BucketContents | None:
        """Return the next queued buckets with their entries, if any."""
        numbers = [
            self.buckets_to_send.popleft()
            for _ in range(min(BUCKETS_PER_REQUEST, len(self.buckets_to_send)))
        ]
        if not numbers:
            return None
        return BucketContents(buckets=tuple(self._bucket_content(n) for n in numbers))

    def _bucket_content(self, number: int) -> BucketContent:
        """Return all entries of a bucket."""
        register = self.context.register
        return BucketContent(
            number=number,
            floor=register.buckets[number].floor,
            entries=encode_entries(register.bucket_entries(number)),
        )

    def on_bucket_contents(self, message: BucketContents) -> None:
        """Merge whole buckets, then request the next ones if this side dialled."""
        with self.session.merging():
            for content in message.buckets:
                self._merge_bucket(content)
        if not self.session.is_dialler:
            return
        self.context.bucket_claims.release(self.claimed_buckets)
        self.claimed_buckets = ()
        self._request_next()

    def _merge_bucket(self, content: BucketContent) -> None:
        """Merge one bucket, and queue it for the peer if it still differs."""
        if not 0 <= content.number < BUCKET_COUNT:
            raise InvalidPeerMessageError(
                f"peer sent bucket {content.number}, "
                f"valid numbers are 0 to {BUCKET_COUNT - 1}"
            )
        entries = decode_entries(content.entries)
        if any(entry.key.bucket != content.number for entry in entries):
            raise InvalidPeerMessageError(
                f"peer sent bucket {content.number} with an entry of another bucket"
            )
        with self.context.updating_register() as register:
            register.merge_bucket(content.number, floor=content.floor, entries=entries)
        BUCKETS_REPAIRED.inc()
        received = {entry.digest for entry in entries}
        stored = {entry.digest for entry in register.bucket_entries(content.number)}
        if self.session.is_dialler and stored != received:
            self.buckets_to_send.append(content.number)
            self.session.sender.wake()

    def _record_comparison(self, is_equal: bool) -> None:  # noqa: FBT001
        """Record the result of a comparison; call ``on_synchronized`` if equal."""
        self.is_synchronized = is_equal
        if is_equal:
            self.session.on_synchronized(self.session)

    def release_claims(self) -> None:
        """Release the buckets that this session was fetching."""
        self.context.bucket_claims.release(self.claimed_buckets)
        self.claimed_buckets = ()
