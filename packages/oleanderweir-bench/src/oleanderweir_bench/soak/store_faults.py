"""Faults of the store that a soak injects."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir_standins import LEASE_S
from oleanderweir_standins import StoreCondition


if TYPE_CHECKING:
    from oleanderweir_bench.soak.soak_site import SoakSite


# Conditions in which the store serves nothing.
UNAVAILABLE_CONDITIONS = (
    StoreCondition.BUSY,
    StoreCondition.RESETTING,
    StoreCondition.SILENT,
)


async def trouble_store(site: SoakSite, random_source: random.Random) -> None:
    """Make the store fail temporarily for some or all processes."""
    conditions = [
        condition
        for condition in StoreCondition
        if condition is not StoreCondition.SERVING
    ]
    condition = random_source.choice(conditions)
    share = random_source.choice((0.4, 1.0))
    ports = [
        process.store_port
        for process in site.processes
        if random_source.random() < share
    ]
    for port in ports:
        site.store.conditions[port] = condition
    await trio.sleep(random_source.uniform(1.0, 4.0))
    for port in ports:
        site.store.conditions[port] = StoreCondition.SERVING


async def forget_history(site: SoakSite, random_source: random.Random) -> None:
    """Compact the history of the store, so that watches cannot resume."""
    del random_source
    site.store.compact_history()


async def restore_store(site: SoakSite, random_source: random.Random) -> None:
    """Make the store unavailable temporarily, and restore it from an older copy."""
    # The copy contains at least what was published before the processes started.
    age_s = min(
        random_source.uniform(1.0, 12.0), trio.current_time() - site.published_at
    )
    revision = site.store.revision_before(age_s)
    condition = random_source.choice(UNAVAILABLE_CONDITIONS)
    ports = [process.store_port for process in site.processes]
    for port in ports:
        site.store.conditions[port] = condition
    site.store.close_connections()
    await trio.sleep(random_source.uniform(0.5, 3.0))
    site.store.restore(
        revision=revision, random_source=random.Random(random_source.random())
    )
    for port in ports:
        site.store.conditions[port] = StoreCondition.SERVING
    # By then, all writers have repeated what was lost.
    await trio.sleep(LEASE_S)
