"""Periodic reads of the instance list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.metrics import INSTANCE_LIST_READS


if TYPE_CHECKING:
    import random

    from oleanderweir.membership import InstanceListSource
    from oleanderweir.membership import Membership
    from oleanderweir.replication.replication_settings import ReplicationSettings


logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class InstanceListPoller:
    """
    Updates the membership from the platform's instance list.

    Every process reads the list of its availability zone. Readers have peers in all
    zones, so they also read the list of the whole fleet, at a longer interval.
    """

    zone_list: InstanceListSource
    fleet_list: InstanceListSource
    availability_zone: str
    membership: Membership
    settings: ReplicationSettings
    random: random.Random
    is_reader: bool = False
    became_reader: trio.Event = attrs.field(factory=trio.Event)

    def set_reader(self, *, is_reader: bool) -> None:
        """Start or stop reading the list of the whole fleet."""
        self.is_reader = is_reader
        if is_reader:
            self.became_reader.set()
        elif self.became_reader.is_set():
            self.became_reader = trio.Event()

    async def run(self) -> None:
        """Read the lists until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_zone)
            nursery.start_soon(self._read_fleet)

    async def _read_zone(self) -> None:
        """Read the list of the own availability zone periodically."""
        while True:
            await self._read_with_retries(self.zone_list, self.availability_zone)
            await self._sleep(self.settings.zone_list_interval_s)

    async def _read_fleet(self) -> None:
        """Read the list of the fleet periodically while this process is a reader."""
        while True:
            await self.became_reader.wait()
            await self._read_with_retries(self.fleet_list, None)
            await self._sleep(self.settings.fleet_list_interval_s)

    async def _read_with_retries(
        self, source: InstanceListSource, availability_zone: str | None
    ) -> None:
        """Read one list and retry with exponential backoff until it succeeds."""
        backoff_s = self.settings.read_backoff_min_s
        while not await self._read(source, availability_zone):
            await self._sleep(backoff_s)
            backoff_s = min(self.settings.read_backoff_max_s, backoff_s * 2)

    async def _read(
        self, source: InstanceListSource, availability_zone: str | None
    ) -> bool:
        """Read one list; return whether the read succeeded."""
        try:
            records = await source.read_instances()
        except OleanderweirError as error:
            INSTANCE_LIST_READS.labels(outcome=error.code).inc()
            logger.warning(
                "cannot read the instance list: %s", error, extra={"code": error.code}
            )
            return False
        is_applied = self.membership.update(
            records, availability_zone=availability_zone
        )
        INSTANCE_LIST_READS.labels(outcome="ok" if is_applied else "empty").inc()
        return True

    async def _sleep(self, interval_s: float) -> None:
        """Sleep for 50 to 100 percent of an interval."""
        await trio.sleep(interval_s * self.random.uniform(0.5, 1.0))
