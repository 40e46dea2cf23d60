from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.store_faults import restore_store
from oleanderweir_standins import StoreCondition
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir_bench.soak.soak_site import SoakSite


# Longer than the greatest age of a copy.
LONG_S = 30.0


@pytest.mark.parametrize("seed", range(5))
async def test_a_restored_store_has_the_newest_routes_when_the_fault_has_ended(
    seed: int, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site:
        await trio.sleep(LONG_S)
        site.publish_routes(FEED)
        newest = newest_document(site)

        await restore_store(site, random.Random(seed))

        assert site.store.contents.era == 2
        assert newest_document(site) == newest
        assert set(site.store.conditions.values()) == {StoreCondition.SERVING}


@pytest.mark.parametrize("seed", range(5))
async def test_a_store_is_not_restored_to_a_time_before_the_first_routes(
    seed: int, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site, trio.open_nursery() as nursery:
        await trio.sleep(0.5)
        site.publish_routes(FEED)

        nursery.start_soon(restore_store, site, random.Random(seed))
        while site.store.contents.era == 1:
            await trio.sleep(0.001)

        assert newest_document(site) is not None


def newest_document(site: SoakSite) -> object:
    """Return the only document of a site without backend servers."""
    [entry] = site.store.contents.entries.values()
    return entry["Value"]
