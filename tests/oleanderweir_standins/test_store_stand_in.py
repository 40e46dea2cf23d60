from __future__ import annotations

import math
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx
import pytest
import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import SourceBusyError
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.net import SocketAddress
from oleanderweir_platform.store_client import StoreClient
from oleanderweir_platform.store_documents import StoreDecoder
from oleanderweir_standins import StoreCondition
from oleanderweir_standins import StoreStandIn
from oleanderweir_standins.store_stand_in import ERA_HEADER
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class StoreHarness:
    def __init__(self, *, store: StoreStandIn, port: int) -> None:
        self.store = store
        self.port = port
        self.client = StoreClient(address=SocketAddress(host="127.0.0.1", port=port))
        self.register = StateRegister(
            decoder=StoreDecoder(), on_change=lambda topic: None
        )

    async def list(self) -> None:
        for topic in Topic:
            self.register.apply_listing(await self.client.list(topic), origin="test")

    async def watch(self, topic: Topic, *, wait_s: float = 0.2) -> None:
        changes = await self.client.watch(
            topic, after=self.register.revision(topic), wait_s=wait_s
        )
        self.register.apply_changes(changes, origin="test")


@asynccontextmanager
async def open_store() -> AsyncIterator[StoreHarness]:
    async with trio.open_nursery() as nursery:
        store = StoreStandIn(nursery=nursery)
        store.write_routes([make_route(1, "feed")])
        store.write_backend_server(make_record("b1"))
        yield StoreHarness(store=store, port=await store.listen("127.0.0.1"))
        nursery.cancel_scope.cancel()


async def test_written_documents_are_listed_by_the_store_client() -> None:
    async with open_store() as harness:
        await harness.list()

        assert harness.register.desired is not None
        assert math.isclose(
            next(iter(harness.register.desired.routes.values())).timeout_s, 2.0
        )
        [record] = harness.register.backends.values()
        assert (record.service, record.host) == ("feed", "10.0.0.1")


async def test_a_watch_returns_changes_and_removals() -> None:
    async with open_store() as harness:
        await harness.list()
        draining = make_record("b1", state=BackendState.DRAINING)
        harness.store.write_backend_server(draining)
        await harness.watch(Topic.BACKEND_SERVERS)
        [record] = harness.register.backends.values()
        assert record.state is BackendState.DRAINING

        harness.store.remove_backend_server("b1")
        await harness.watch(Topic.BACKEND_SERVERS)

        assert harness.register.backends == {}


async def test_a_watch_from_before_a_compaction_fails() -> None:
    async with open_store() as harness:
        await harness.list()
        harness.store.write_backend_server(make_record("b2"))
        harness.store.compact_history()

        with pytest.raises(HistoryLostError):
            await harness.watch(Topic.BACKEND_SERVERS)


@pytest.mark.parametrize(
    ("condition", "error"),
    [
        (StoreCondition.BUSY, SourceBusyError),
        (StoreCondition.RESETTING, SourceUnavailableError),
    ],
)
async def test_a_condition_applies_to_its_port_only(
    condition: StoreCondition, error: type[SourceUnavailableError]
) -> None:
    async with open_store() as harness:
        other = await harness.store.listen("127.0.0.1")
        harness.store.conditions[harness.port] = condition

        with pytest.raises(error):
            await harness.client.list(Topic.DESIRED_STATE)

        address = SocketAddress(host="127.0.0.1", port=other)
        assert await StoreClient(address=address).list(Topic.DESIRED_STATE)


@pytest.mark.parametrize(
    ("condition", "after", "status"),
    [
        (StoreCondition.SERVING, 1, 200),
        (StoreCondition.SERVING, 1000, 410),
        (StoreCondition.BUSY, 1, 503),
    ],
)
async def test_every_response_has_the_era_of_the_store(
    condition: StoreCondition, after: int, status: int
) -> None:
    async with open_store() as harness, httpx.AsyncClient() as client:
        harness.store.conditions[harness.port] = condition
        url = f"http://127.0.0.1:{harness.port}/v1/kv-watch"
        target = f"{url}?Prefix=servers/&after={after}&WaitMs=1"

        first = await client.get(target)
        harness.store.restore(revision=2, random_source=random.Random(1))
        second = await client.get(target)

        assert (first.status_code, first.headers[ERA_HEADER]) == (status, "1")
        assert second.headers[ERA_HEADER] == "2"


async def test_a_watch_from_a_revision_that_a_restore_lost_fails() -> None:
    async with open_store() as harness:
        # The lost revisions outnumber the writes that follow the restore.
        for _ in range(3):
            harness.store.write_backend_server(make_record("b1"))
        await harness.list()

        harness.store.restore(revision=2, random_source=random.Random(1))

        with pytest.raises(HistoryLostError):
            await harness.watch(Topic.BACKEND_SERVERS)


async def test_a_restore_cuts_waiting_watches() -> None:
    async with open_store() as harness:
        await harness.list()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_restore_once_connected, harness.store)

            with pytest.raises(SourceUnavailableError):
                await harness.watch(Topic.BACKEND_SERVERS, wait_s=10)


async def test_silenced_connections_get_no_response_and_new_ones_are_served() -> None:
    async with open_store() as harness:
        await harness.list()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_silence_once_connected, harness.store)
            with trio.move_on_after(0.5) as scope:
                await harness.watch(Topic.BACKEND_SERVERS, wait_s=0.2)

        assert scope.cancelled_caught
        await harness.list()


async def test_a_store_restored_from_a_recent_copy_lists_earlier_documents(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        store = StoreStandIn(nursery=nursery)
        store.write_backend_server(make_record("b1"))
        await trio.sleep(2)
        store.write_backend_server(make_record("b2"))
        await trio.sleep(2)

        store.restore(revision=store.revision_before(3), random_source=random.Random(1))

        assert store.contents.entries.keys() == {"servers/b1"}
        nursery.cancel_scope.cancel()


async def _restore_once_connected(store: StoreStandIn) -> None:
    while not store.connection_scopes:
        await trio.sleep(0.01)
    store.restore(revision=2, random_source=random.Random(1))


async def _silence_once_connected(store: StoreStandIn) -> None:
    while not store.connection_scopes:
        await trio.sleep(0.01)
    store.silence_connections()
