from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

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

    async def watch(self, topic: Topic) -> None:
        changes = await self.client.watch(
            topic, after=self.register.revision(topic), wait_s=0.2
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
