"""The newest published state known to this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from oleanderweir.desired_state.backend_topic import BackendTopic
from oleanderweir.desired_state.desired_state_topic import DesiredStateTopic
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


class StateRegister:
    """
    Holds the newest state of each topic; older listings and changes are ignored.

    ``on_change`` is called after each change of a topic. ``desired`` stays in force
    when a newer document is invalid.
    """

    def __init__(
        self, *, decoder: StateDecoder, on_change: Callable[[Topic], None]
    ) -> None:
        self.on_change = on_change
        self.desired_topic = DesiredStateTopic(decoder=decoder)
        self.backend_topic = BackendTopic(decoder=decoder)
        self.topics: dict[Topic, DesiredStateTopic | BackendTopic] = {
            Topic.DESIRED_STATE: self.desired_topic,
            Topic.BACKEND_SERVERS: self.backend_topic,
        }
        # Caches that each change clears and the next access fills.
        self.by_address: dict[tuple[str, int], BackendRecord] | None = None
        self.by_service: dict[str, list[BackendRecord]] | None = None
        self.published_hosts: frozenset[str] | None = None

    def revision(self, topic: Topic) -> int:
        """Return the revision up to which all changes of a topic are applied."""
        return self.topics[topic].revision

    def changed_revision(self, topic: Topic) -> int:
        """Return the revision of the newest known change of a topic."""
        return self.topics[topic].changed_revision

    def base_revision(self, topic: Topic) -> int:
        """Return the lowest revision at which no change so far is missing."""
        return self.topics[topic].base_revision

    @property
    def desired(self) -> DesiredState | None:
        """The desired state in force, if there is one."""
        return self.desired_topic.desired

    @property
    def version(self) -> int:
        """The version of the desired state in force, or 0 if there is none."""
        return self.desired_topic.version

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """The availability zones whose backend servers get no new flows."""
        return self.desired_topic.evacuations.zones

    @property
    def evacuations_revision(self) -> int:
        """The revision of the newest evacuation order or withdrawal, 0 without any."""
        return self.desired_topic.evacuations.changed_revision

    def is_evacuated(self, zone: str) -> bool:
        """Whether the backend servers of an availability zone get no new flows."""
        return zone in self.evacuated_zones

    @property
    def evacuations_started_at(self) -> dict[str, float]:
        """
        When this process learned of the order in force, of each evacuated zone.

        In seconds of trio's clock.
        """
        return self.desired_topic.evacuations.started_at

    def evacuation_ended_at(self, zone: str) -> float | None:
        """
        Return when this process learned that a zone's evacuation was withdrawn.

        In seconds of trio's clock; ``None`` while it stands, or if there was none.
        """
        return self.desired_topic.evacuations.ended_at.get(zone)

    @property
    def backends(self) -> dict[str, BackendRecord]:
        """The published backend servers, by the names of their documents."""
        return self.backend_topic.records

    @property
    def listed_at(self) -> float | None:
        """The time of the first listing of backend servers, on trio's clock."""
        return self.backend_topic.listed_at

    @property
    def removed_at(self) -> dict[str, float]:
        """The time of the last removal at each host, on trio's clock."""
        return self.backend_topic.removed_at

    def services_of(self, address: bytes) -> set[str]:
        """Return all current and former services of a route since the process start."""
        return self.desired_topic.services_by_address.get(address, set())

    def backend_at(self, host: str, port: int) -> BackendRecord | None:
        """Return the record of the backend server that uses an address."""
        return self._find_by_address().get((host, port))

    def backends_of(self, service: str) -> list[BackendRecord]:
        """Return the published backend servers of a service that use their address."""
        if self.by_service is None:
            self.by_service = {}
            for record in self._find_by_address().values():
                self.by_service.setdefault(record.service, []).append(record)
        return self.by_service.get(service, [])

    def unevacuated_backends_of(self, service: str) -> list[BackendRecord]:
        """Return the backend servers of a service whose zone isn't evacuated."""
        records = self.backends_of(service)
        if not self.evacuated_zones:
            return records
        return [r for r in records if not self.is_evacuated(r.availability_zone)]

    def _find_by_address(self) -> dict[tuple[str, int], BackendRecord]:
        """
        Return the newest record of each address.

        The record of an earlier start, perhaps of another service, stays published for
        some seconds. Of two records of one start, the later count decides.
        """
        if self.by_address is None:
            self.by_address = {
                (record.host, record.port): record
                for record in sorted(self.backends.values(), key=self._rank_record)
            }
        return self.by_address

    def _rank_record(self, record: BackendRecord) -> tuple[bool, int, int]:
        """Return what orders the records of one address, the newest last."""
        is_newest_start = record.started_at_ms == self.newest_start_ms(record.host)
        return is_newest_start, record.started_at_ms, record.sequence

    def is_published(self, host: str) -> bool:
        """Whether any backend server is published at a host."""
        return host in self.find_published_hosts()

    def find_published_hosts(self) -> frozenset[str]:
        """Return the hosts of all published backend servers."""
        if self.published_hosts is None:
            self.published_hosts = frozenset(r.host for r in self.backends.values())
        return self.published_hosts

    def is_host_removed(self, host: str, *, now: float) -> bool:
        """Whether a host has had no backend server for ``REMOVAL_GRACE_S``."""
        missing_since = self.backend_topic.missing_since(host)
        if missing_since is None or self.is_published(host):
            return False
        return now - missing_since > REMOVAL_GRACE_S

    def newest_start_ms(self, host: str) -> int:
        """Return the newest start of a backend server at a host, 0 if unknown."""
        start = self.backend_topic.order.newest_starts.get(host)
        return 0 if start is None else start.started_at_ms

    def has_started_since(self, host: str, moment: float) -> bool:
        """Whether a new start of a backend server at a host was published since."""
        start = self.backend_topic.order.newest_starts.get(host)
        return start is not None and start.known_at > moment

    def was_removed_since(self, host: str, moment: float) -> bool:
        """Whether a backend server at a host was removed after ``moment``."""
        return self.removed_at.get(host, float("-inf")) > moment

    def has_removal_after(self, revision: int, *, now: float) -> bool:
        """Whether a backend server was removed after a revision, and just now."""
        if revision >= self.backend_topic.removed_revision:
            return False
        return now - max(self.removed_at.values()) <= REMOVAL_GRACE_S

    def export(self, topic: Topic) -> Listing:
        """Return a topic as a listing that another process can apply."""
        state = self.topics[topic]
        listing = Listing(
            topic=topic,
            revision=state.revision,
            documents=tuple(state.documents.values()),
        )
        if topic is not Topic.DESIRED_STATE:
            return listing
        withdrawals = self.desired_topic.evacuations.withdrawals
        return attrs.evolve(listing, withdrawn=withdrawals.export())

    def apply_listing(self, listing: Listing, *, origin: str) -> None:
        """Apply all of a listing that is newer than what is known."""
        if self.topics[listing.topic].apply_listing(listing):
            self._notify_change(listing.topic, origin)

    def apply_changes(self, changes: Changes, *, origin: str) -> None:
        """Apply the changes that are newer than what is known."""
        if self.topics[changes.topic].apply_changes(changes):
            self._notify_change(changes.topic, origin)

    def _notify_change(self, topic: Topic, origin: str) -> None:
        """Clear the caches, log the change of a topic and call ``on_change``."""
        self.by_address = None
        self.by_service = None
        self.published_hosts = None
        logger.info(
            "published state changed",
            extra={
                "code": "state_changed",
                "topic": topic.value,
                "revision": self.topics[topic].revision,
                "version": self.version,
                "evacuated": sorted(self.evacuated_zones),
                "origin": origin,
            },
        )
        self.on_change(topic)
