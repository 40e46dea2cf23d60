"""Keeps the published state of a process in step with that of its peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import WithdrawnOrders
from oleanderweir.desired_state import history_of
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.peering.exceptions import PeerUnavailableError
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import StateUpdate


if TYPE_CHECKING:
    from oleanderweir.desired_state import Listing
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members
    from oleanderweir.peering.messages import Confirmation
    from oleanderweir.peering.messages import Heartbeat
    from oleanderweir.peering.state_exchange import StateClient


logger = logging.getLogger(__name__)

# How long a peer may be ahead before its state is fetched; the watch of this
# process usually delivers the change sooner.
FETCH_DELAY_S = 0.15
# Peers whose withdrawn evacuation orders a process gets, and how many it asks for them
# at most: some may have started only just now, too, and tell of none.
MAX_INFORMANTS = 3
MAX_ASKED = 16


class StateSynchronizer:
    """
    Sends changes from the source to the members, and applies those of peers.

    If a peer is ahead, its state is fetched, unless the source delivers it within
    ``FETCH_DELAY_S``. A process that starts, or lists an order after the source was
    restored, also asks peers which orders were withdrawn before, until
    ``MAX_INFORMANTS`` have told of any: the source doesn't tell.
    """

    def __init__(
        self,
        *,
        port: int,
        socket: UdpSocket,
        members: Members,
        register: StateRegister,
        client: StateClient,
    ) -> None:
        self.port = port
        self.socket = socket
        self.members = members
        self.register = register
        self.client = client
        self.fetching: set[Topic] = set()
        # Hosts that told of withdrawn orders, those that were asked, and the history of
        # the source in which they were.
        self.informants: set[str] = set()
        self.asked: set[str] = set()
        self.informed_history: int | None = None
        self.barrier = ErrorBarrier(place="peer_state")

    def on_heartbeat(
        self, host: str, heartbeat: Heartbeat, nursery: trio.Nursery
    ) -> None:
        """Fetch the sender's state if it is newer, or its withdrawn orders."""
        self._fetch_newer(host, heartbeat, nursery)
        self._update_history()
        is_informed = len(self.informants) >= MAX_INFORMANTS
        if is_informed or host in self.asked or len(self.asked) >= MAX_ASKED:
            return
        if heartbeat.evacuations_revision and Topic.DESIRED_STATE not in self.fetching:
            self.asked.add(host)
            self.fetching.add(Topic.DESIRED_STATE)
            nursery.start_soon(self._fetch_guarded, host, Topic.DESIRED_STATE, None)

    def on_confirmation(
        self, host: str, confirmation: Confirmation, nursery: trio.Nursery
    ) -> None:
        """Fetch the state of the reader if it is newer."""
        self._fetch_newer(confirmation.reader or host, confirmation, nursery)

    def on_state_update(
        self, host: str, update: StateUpdate, nursery: trio.Nursery
    ) -> None:
        """Apply a change from a reader; fetch all if earlier changes are missing."""
        topic = Topic.BACKEND_SERVERS
        if update.base > self.register.revision(topic):
            self._fetch_if_behind(host, topic, (update.revision,), nursery)
            return
        change = Change(
            name=update.name, revision=update.revision, document=update.document
        )
        changes = Changes(topic=topic, revision=update.revision, changes=(change,))
        self.register.apply_changes(changes, origin=host)

    def send_changes(self, changes: Changes, *, base: int) -> None:
        """Send changes of the backend servers from the source to all members."""
        if changes.topic is not Topic.BACKEND_SERVERS:
            return
        for change in changes.changes:
            if change.revision <= base:
                continue
            message = encode_message(
                StateUpdate(
                    base=base,
                    revision=change.revision,
                    name=change.name,
                    document=change.document,
                )
            )
            base = change.revision
            for host in self.members.members:
                self.socket.send_to(message, (host, self.port))

    def _record_informant(self, host: str, listing: Listing) -> None:
        """Record a peer whose listing tells of withdrawn orders."""
        is_informed = len(self.informants) >= MAX_INFORMANTS
        if listing.withdrawn and listing.withdrawn.orders and not is_informed:
            self.informants.add(host)

    def _update_history(self) -> None:
        """Ask peers again after a restore, if an order is in force."""
        revision = self.register.revision(Topic.DESIRED_STATE)
        if not revision:
            return
        history, known = history_of(revision), self.informed_history
        self.informed_history = history
        if known is not None and known != history and self.register.evacuated_zones:
            self.informants.clear()
            self.asked.clear()

    def _progress(self, topic: Topic) -> tuple[int, ...]:
        """Return what tells how far this process is, in the terms of a heartbeat."""
        revision = self.register.revision(topic)
        if topic is Topic.DESIRED_STATE:
            return (self.register.version, revision)
        return (revision,)

    def _is_behind(self, topic: Topic, progress: tuple[int, ...]) -> bool:
        """Whether a peer with this progress has anything that this process lacks."""
        own = self._progress(topic)
        return any(theirs > ours for theirs, ours in zip(progress, own, strict=True))

    def _fetch_newer(
        self, host: str, message: Heartbeat | Confirmation, nursery: trio.Nursery
    ) -> None:
        """Fetch the topics of which a host has a newer state."""
        progress = {
            Topic.DESIRED_STATE: (
                message.desired_version,
                message.evacuations_revision,
            ),
            Topic.BACKEND_SERVERS: (message.backends_revision,),
        }
        for topic, peer_progress in progress.items():
            self._fetch_if_behind(host, topic, peer_progress, nursery)

    def _fetch_if_behind(
        self,
        host: str,
        topic: Topic,
        progress: tuple[int, ...],
        nursery: trio.Nursery,
    ) -> None:
        if self._is_behind(topic, progress) and topic not in self.fetching:
            self.fetching.add(topic)
            nursery.start_soon(self._fetch_guarded, host, topic, progress)

    async def _fetch_guarded(
        self, host: str, topic: Topic, progress: tuple[int, ...] | None
    ) -> None:
        with self.barrier:
            await self._fetch(host, topic, progress)

    async def _fetch(
        self, host: str, topic: Topic, progress: tuple[int, ...] | None
    ) -> None:
        """Fetch a topic from a peer, unless the source delivers ``progress`` first."""
        try:
            if progress is not None and not await self._stays_behind(topic, progress):
                return
            listing = await self.client.fetch(host, topic)
            # A peer that names a revision of orders knows them; only those of releases
            # before orders, which name none, send listings that lack orders.
            knows_orders = progress is None or progress[-1] > 0
            if listing.withdrawn is None and knows_orders:
                listing = attrs.evolve(listing, withdrawn=WithdrawnOrders())
            self.register.apply_listing(listing, origin=host)
            self._record_informant(host, listing)
        except PeerUnavailableError as error:
            logger.warning(
                "could not fetch the published state from a peer",
                extra={"code": error.code, "peer": host, "reason": error.message},
            )
        finally:
            self.fetching.discard(topic)

    async def _stays_behind(self, topic: Topic, progress: tuple[int, ...]) -> bool:
        """Wait for the source; return whether it didn't deliver a peer's progress."""
        if self._progress(topic)[0] > 0:
            await trio.sleep(FETCH_DELAY_S)
        return self._is_behind(topic, progress)
