from __future__ import annotations

from oleanderweir.peering.host_ring import LAST_POSITION
from oleanderweir.peering.host_ring import HostRing
from oleanderweir.peering.host_ring import ring_position


HOSTS = {f"10.0.0.{number}" for number in range(1, 41)}
ORDER = sorted(HOSTS, key=ring_position)


def test_a_ring_follows_the_hosts() -> None:
    ring = HostRing()
    ring.update({*ORDER[:30], "10.0.1.1"})

    ring.update(HOSTS)

    assert ring.find_section(1, LAST_POSITION) == ORDER


def test_a_section_has_the_hosts_at_both_of_its_ends() -> None:
    ring = HostRing()
    ring.update(HOSTS)

    section = ring.find_section(ring_position(ORDER[3]), ring_position(ORDER[9]))

    assert section == ORDER[3:10]


def test_a_section_may_contain_the_end_of_the_ring() -> None:
    ring = HostRing()
    ring.update(HOSTS)

    section = ring.find_section(ring_position(ORDER[35]), ring_position(ORDER[4]))

    assert section == ORDER[35:] + ORDER[:5]


def test_a_section_beyond_the_ring_has_the_hosts_of_the_ring_that_it_covers() -> None:
    ring = HostRing()
    ring.update(HOSTS)

    beyond = LAST_POSITION + 5
    assert ring.find_section(beyond, 0) == []
    assert ring.find_section(beyond, ring_position(ORDER[1])) == ORDER[:2]
    assert ring.find_section(ring_position(ORDER[38]), beyond) == ORDER[38:]
