"""The newest published state known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state.backend_start import BackendStart
from oleanderweir.desired_state.exceptions import InvalidDocumentError
from oleanderweir.desired_state.topic import Change
from oleanderweir.desired_state.topic import Listing
from oleanderweir.desired_state.topic import Topic


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.desired_state.backend_record import BackendRecord
    from oleanderweir.desired_state.desired_state import DesiredState
    from oleanderweir.desired_state.state_decoder import StateDecoder
    from oleanderweir.desired_state.topic import Changes


logger = logging.getLogger(__name__)

# A host counts as removed after this time without a published backend server. Records
# that expired during an outage of the source are published again within two seconds of
# its recovery.
REMOVAL_GRACE_S = 2.5


@attrs.define(kw_only=True, eq=False)
class TopicState:
    """
    The documents of one topic as of ``revision``, which is 0 before the first listing.

    ``changed_revision`` is the revision of the newest change.
    """

    revision: int = 0
    changed_revision: int = 0
    documents: dict[str, Change] = attrs.field(factory=dict)


class StateRegister:
    """
    Holds the newest state of each topic; older listings and changes are ignored.

    The source has a single counter for all writes, so a listing or change of a higher
    revision includes all writes of lower ones. ``on_change`` is called after each
    change of a topic. ``desired`` stays in force when a newer document is invalid.
    """

    def __init__(
        self, *, decoder: StateDecoder, on_change: Callable[[Topic], None]
    ) -> None:
        self.decoder = decoder
        self.on_change = on_change
        self.topics = {topic: TopicState() for topic in Topic}
        self.desired: DesiredState | None = None
        self.backends: dict[str, BackendRecord] = {}
        # Caches that each change clears and the next access fills.
        self.by_service: dict[str, list[BackendRecord]] | None = None
        self.published_hosts: set[str] | None = None
        # All services of each route address since the process started.
        self.services_by_address: dict[bytes, set[str]] = {}
        # Time of the first listing of backend servers, and of the last removal by host,
        # in seconds of trio's clock.
        self.listed_at: float | None = None
        self.removed_at: dict[str, float] = {}
        # Newest start of a backend server at each host.
        self.newest_starts: dict[str, BackendStart] = {}

    def revision(self, topic: Topic) -> int:
        """Return the revision up to which all changes of a topic are applied."""
        return self.topics[topic].revision

    def changed_revision(self, topic: Topic) -> int:
        """Return the revision of the newest known change of a topic."""
        return self.topics[topic].changed_revision

    @property
    def version(self) -> int:
        """The version of the desired state in force, or 0 if there is none."""
        return 0 if self.desired is None else self.desired.version

    def services_of(self, address: bytes) -> set[str]:
        """Return all current and former services of a route since the process start."""
        return self.services_by_address.get(address, set())

    def backends_of(self, service: str) -> list[BackendRecord]:
        """Return the published backend servers of a service."""
        if self.by_service is None:
            self.by_service = {}
            for record in self.backends.values():
                self.by_service.setdefault(record.service, []).append(record)
        return self.by_service.get(service, [])

    def is_published(self, host: str) -> bool:
        """Whether any backend server is published at a host."""
        if self.published_hosts is None:
            self.published_hosts = {r.host for r in self.backends.values()}
        return host in self.published_hosts

    def is_host_removed(self, host: str, *, now: float) -> bool:
        """Whether a host has had no backend server for ``REMOVAL_GRACE_S``."""
        if self.listed_at is None or self.is_published(host):
            return False
        return now - self.removed_at.get(host, self.listed_at) > REMOVAL_GRACE_S

    def has_started_since(self, host: str, moment: float) -> bool:
        """Whether a new start of a backend server at a host was published since."""
        start = self.newest_starts.get(host)
        return start is not None and start.known_at > moment

    def was_removed_since(self, host: str, moment: float) -> bool:
        """Whether a backend server at a host was removed after ``moment``."""
        return self.removed_at.get(host, float("-inf")) > moment

    def export(self, topic: Topic) -> Listing:
        """Return a topic as a listing that another process can apply."""
        state = self.topics[topic]
        return Listing(
            topic=topic,
            revision=state.revision,
            documents=tuple(state.documents.values()),
        )

    def apply_listing(self, listing: Listing, *, origin: str) -> None:
        """Replace a topic, unless a newer revision is known."""
        state = self.topics[listing.topic]
        if listing.revision < state.revision:
            return
        documents = {change.name: change for change in listing.documents}
        is_changed = documents != state.documents
        for name in state.documents.keys() - documents.keys():
            self._remove(listing.topic, name)
        for name, change in documents.items():
            if state.documents.get(name) != change:
                self._decode(listing.topic, change)
        if listing.topic is Topic.BACKEND_SERVERS and self.listed_at is None:
            self.listed_at = trio.current_time()
        state.documents = documents
        state.revision = listing.revision
        newest = max((change.revision for change in listing.documents), default=0)
        state.changed_revision = max(state.changed_revision, newest)
        if is_changed:
            self._notify_change(listing.topic, origin)

    def apply_changes(self, changes: Changes, *, origin: str) -> None:
        """Apply the changes that are newer than the known revision."""
        state = self.topics[changes.topic]
        is_changed = False
        for change in changes.changes:
            if change.revision <= state.revision:
                continue
            is_changed = True
            state.changed_revision = change.revision
            if change.document is None:
                state.documents.pop(change.name, None)
                self._remove(changes.topic, change.name)
                continue
            state.documents[change.name] = change
            self._decode(changes.topic, change)
        state.revision = max(state.revision, changes.revision)
        if is_changed:
            self._notify_change(changes.topic, origin)

    def _notify_change(self, topic: Topic, origin: str) -> None:
        """Clear the caches, log the change of a topic and call ``on_change``."""
        self.by_service = None
        self.published_hosts = None
        logger.info(
            "published state changed",
            extra={
                "code": "state_changed",
                "topic": topic.value,
                "revision": self.topics[topic].revision,
                "version": self.version,
                "origin": origin,
            },
        )
        self.on_change(topic)

    def _record_start(self, record: BackendRecord) -> None:
        """Record when the newest start of a host's backend server became known."""
        known = self.newest_starts.get(record.host)
        if known is None or known.started_at_ms < record.started_at_ms:
            self.newest_starts[record.host] = BackendStart(
                started_at_ms=record.started_at_ms, known_at=trio.current_time()
            )

    def _remove(self, topic: Topic, name: str) -> None:
        """Remove a backend server whose document was removed; routes stay."""
        if topic is Topic.BACKEND_SERVERS:
            record = self.backends.pop(name, None)
            if record is not None:
                self.removed_at[record.host] = trio.current_time()

    def _decode(self, topic: Topic, change: Change) -> None:
        """
        Decode and apply one document.

        An invalid one is logged: its backend server is removed, but a desired state
        stays in force.
        """
        document = change.document or b""
        try:
            if topic is Topic.BACKEND_SERVERS:
                self.backends.pop(change.name, None)
                record = self.decoder.decode_backend_server(change.name, document)
                self.backends[change.name] = record
                self._record_start(record)
                return
            desired = self.decoder.decode_desired_state(document)
        except InvalidDocumentError as error:
            logger.warning(
                "published document is invalid and was not applied",
                extra={
                    "code": error.code,
                    "document": change.name,
                    "reason": str(error),
                },
            )
            return
        if desired.version > self.version:
            self.desired = desired
            for route in desired.routes.values():
                services = self.services_by_address.setdefault(route.address, set())
                services.update(share.service for share in route.shares)
