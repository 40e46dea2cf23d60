"""Selection of the peers to dial and of the readers."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from oleanderweir.membership import InstanceState
from oleanderweir.rendezvous import first_ranked
from oleanderweir.rendezvous import ring_successors


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.membership import Membership
    from oleanderweir.replication.replication_settings import ReplicationSettings


READER_RING_PURPOSE = "readers"


@attrs.define(kw_only=True, eq=False)
class PeerSelection:
    """
    Derives peers and readers from the known instances, without an election.

    In each availability zone, every process dials its successors on several hash
    rings. The readers of all zones also dial each other in the same way, which
    connects the zones. Each zone has as many reserves as readers; the reserves dial
    the readers of their zone to detect a failed one and replace it.
    """

    own_record: InstanceRecord
    membership: Membership
    ring_count: int
    readers_per_zone: int
    names_by_zone: dict[str, set[str]] = attrs.field(init=False, factory=dict)
    names_by_zone_version: int = attrs.field(init=False, default=-1)

    def peers(self, *, excluded: frozenset[str] = frozenset()) -> set[str]:
        """
        Return the names of the instances to dial now.

        For successors that are suspected or ``excluded``, the next instances on the
        ring are dialled in addition.
        """
        zone = self._zone_names(self.own_record.availability_zone)
        suspected = {name for name in zone if self.membership.is_suspected(name)}
        available = zone - suspected - excluded
        chosen = self._successors(zone)
        if available != zone:
            chosen |= self._successors(available)
        readers = self.readers()
        if self.is_reader:
            ring = self._readers_of_all_zones() | set(readers)
            chosen |= self._successors(ring, purpose=READER_RING_PURPOSE)
        elif self.own_record.name in self._rank_own_zone()[: 2 * self.readers_per_zone]:
            chosen |= set(readers)
        chosen.discard(self.own_record.name)
        return chosen

    def readers(self) -> tuple[str, ...]:
        """Return the readers of the own availability zone, in rank order."""
        return tuple(self._rank_own_zone()[: self.readers_per_zone])

    @property
    def is_reader(self) -> bool:
        """Whether this process is a reader; false until an instance list was read."""
        return self.membership.has_list and self.own_record.name in self.readers()

    def poll_interval_s(self, settings: ReplicationSettings) -> float:
        """Return the mean time between two polls of this process, in seconds."""
        zone = self._zone_names(self.own_record.availability_zone)
        if self.own_record.name not in zone:
            # The list is missing or incomplete, and the zone may be large.
            return settings.poll_interval_max_s
        pollers = max(1, len(zone) - self.readers_per_zone)
        interval_s = max(
            pollers / settings.zone_polls_per_s, settings.poll_interval_min_s
        )
        return min(interval_s, settings.poll_interval_max_s)

    def boot_peers(self) -> set[str]:
        """
        Return the names of the instances with which this one compares when it boots.

        These are the others of its availability zone, or all others if it is alone
        in its zone.
        """
        zone = self._zone_names(self.own_record.availability_zone) - {
            self.own_record.name
        }
        return zone or set(self.membership.instances()) - {self.own_record.name}

    def _successors(
        self, names: Iterable[str], *, purpose: str | None = None
    ) -> set[str]:
        """Return the successors of this process among some names."""
        return set(
            ring_successors(
                self.own_record.name,
                names,
                purpose=purpose or self.own_record.availability_zone,
                ring_count=self.ring_count,
            )
        )

    def _rank_own_zone(self) -> list[str]:
        """Return the readers and reserves of the own zone, in rank order."""
        return self._rank_zone(self.own_record.availability_zone)

    def _rank_zone(self, zone: str) -> list[str]:
        """Return the readers of a zone and as many reserves, in rank order."""
        names = self._zone_names(zone)
        if zone == self.own_record.availability_zone:
            names = names | {self.own_record.name}
        available = (name for name in names if not self.membership.is_suspected(name))
        return first_ranked(
            available, purpose=f"reader/{zone}", count=2 * self.readers_per_zone
        )

    def _readers_of_all_zones(self) -> set[str]:
        """Return the readers of every availability zone."""
        readers: set[str] = set()
        for zone in self._live_names_by_zone():
            readers.update(self._rank_zone(zone)[: self.readers_per_zone])
        return readers

    def _zone_names(self, zone: str) -> set[str]:
        """Return the names of the live instances of a zone."""
        return self._live_names_by_zone().get(zone, set())

    def _live_names_by_zone(self) -> dict[str, set[str]]:
        """Return the names of the live instances by availability zone."""
        if self.names_by_zone_version != self.membership.version:
            self.names_by_zone = defaultdict(set)
            for record in self.membership.instances().values():
                if record.state is InstanceState.LIVE:
                    self.names_by_zone[record.availability_zone].add(record.name)
            self.names_by_zone_version = self.membership.version
        return self.names_by_zone
