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


class StoreBench:
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
async def open_store() -> AsyncIterator[StoreBench]:
    async with trio.open_nursery() as nursery:
        store = StoreStandIn(nursery=nursery)
        store.write_routes([make_route(1, "feed")])
        store.write_backend_server(make_record("b1"))
        yield StoreBench(store=store, port=await store.listen("127.0.0.1"))
        nursery.cancel_scope.cancel()


async def test_what_was_written_is_read_by_the_client_of_the_platform() -> None:
    async with open_store() as bench:
        await bench.list()

        assert bench.register.desired is not None
        assert math.isclose(
            next(iter(bench.register.desired.routes.values())).timeout_s, 2.0
        )
        [record] = bench.register.backends.values()
        assert (record.service, record.host) == ("feed", "10.0.0.1")


async def test_a_watch_tells_of_changes_and_removals() -> None:
    async with open_store() as bench:
        await bench.list()
        draining = make_record("b1", state=BackendState.DRAINING)
        bench.store.write_backend_server(draining)
        await bench.watch(Topic.BACKEND_SERVERS)
        [record] = bench.register.backends.values()
        assert record.state is BackendState.DRAINING

        bench.store.remove_backend_server("b1")
        await bench.watch(Topic.BACKEND_SERVERS)

        assert bench.register.backends == {}


async def test_a_history_that_was_forgotten_is_gone() -> None:
    async with open_store() as bench:
        await bench.list()
        bench.store.write_backend_server(make_record("b2"))
        bench.store.forget_history()

        with pytest.raises(HistoryLostError):
            await bench.watch(Topic.BACKEND_SERVERS)


@pytest.mark.parametrize(
    ("condition", "error"),
    [
        (StoreCondition.BUSY, SourceBusyError),
        (StoreCondition.RESETTING, SourceUnavailableError),
    ],
)
async def test_a_process_meets_the_condition_of_its_port(
    condition: StoreCondition, error: type[SourceUnavailableError]
) -> None:
    async with open_store() as bench:
        other = await bench.store.listen("127.0.0.1")
        bench.store.conditions[bench.port] = condition

        with pytest.raises(error):
            await bench.client.list(Topic.DESIRED_STATE)

        address = SocketAddress(host="127.0.0.1", port=other)
        assert await StoreClient(address=address).list(Topic.DESIRED_STATE)
