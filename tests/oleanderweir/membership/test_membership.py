from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.membership import Membership
from tests.oleanderweir.replication.cluster import make_record


if TYPE_CHECKING:
    from trio.testing import MockClock


NEAR = make_record(1, zone="near")
FAR = make_record(2, zone="far")


def make_membership() -> Membership:
    return Membership(observed_lease_s=60, suspicion_s=30)


async def test_list_of_one_zone_keeps_the_other_zones(
    autojump_clock: MockClock,
) -> None:
    membership = make_membership()
    membership.update([NEAR, FAR])
    other = make_record(3, zone="near")
    membership.update([other], availability_zone="near")
    assert set(membership.instances()) == {FAR.name, other.name}


async def test_empty_list_is_ignored(autojump_clock: MockClock) -> None:
    membership = make_membership()
    assert membership.update([NEAR])
    assert not membership.update([])
    assert set(membership.instances()) == {NEAR.name}


async def test_observed_instance_is_kept_for_its_lease(
    autojump_clock: MockClock,
) -> None:
    membership = make_membership()
    membership.record_observed(NEAR)
    await trio.sleep(59)
    assert NEAR.name in membership.instances()
    await trio.sleep(2)
    assert NEAR.name not in membership.instances()


async def test_suspicion_ends_by_timeout_or_observation(
    autojump_clock: MockClock,
) -> None:
    membership = make_membership()
    membership.suspect(NEAR.name)
    membership.suspect(FAR.name)
    membership.record_observed(NEAR)
    assert not membership.is_suspected(NEAR.name)
    assert membership.is_suspected(FAR.name)
    await trio.sleep(31)
    assert not membership.is_suspected(FAR.name)


async def test_version_increases_only_with_changes(autojump_clock: MockClock) -> None:
    membership = make_membership()
    membership.update([NEAR])
    version = membership.version
    membership.update([NEAR])
    assert membership.version == version
    membership.record_observed(FAR)
    assert membership.version > version
