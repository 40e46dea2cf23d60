from __future__ import annotations

import base64
import json
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir_standins.store_contents import StoreContents
from oleanderweir_standins.store_writers import DESIRED_STATE_KEY
from oleanderweir_standins.store_writers import LEASE_S
from oleanderweir_standins.store_writers import REWRITE_PERIOD_S
from oleanderweir_standins.store_writers import StoreWriters
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# Less than the time between two rewrites or removals of a test.
MARGIN_S = 0.001
DRAINING = BackendState.DRAINING


class WritersHarness:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.contents = StoreContents()
        self.writers = StoreWriters(contents=self.contents, nursery=nursery)

    def restore(self, revision: int) -> None:
        self.writers.restore(revision, random.Random(1))

    def document(self, key: str) -> dict[str, Any] | None:
        entry = self.contents.entries.get(key)
        if entry is None:
            return None
        document: dict[str, Any] = json.loads(base64.b64decode(entry["Value"]))
        return document

    def field(self, key: str, name: str) -> object:
        document = self.document(key)
        return None if document is None else document[name]


@asynccontextmanager
async def open_writers() -> AsyncIterator[WritersHarness]:
    async with trio.open_nursery() as nursery:
        yield WritersHarness(nursery)
        nursery.cancel_scope.cancel()


async def test_seq_counts_the_writes_of_each_start_of_a_backend_server() -> None:
    async with open_writers() as harness:
        counts = []
        for identifier, started_at_ms in (
            ("b1", 1000),
            ("b1", 1000),
            ("b2", 1000),
            ("b1", 2000),
            ("b1", 2000),
        ):
            harness.writers.write_backend_server(
                make_record(identifier, started_at_ms=started_at_ms)
            )
            counts.append(harness.field(f"servers/{identifier}", "Seq"))

        assert counts == [1, 2, 1, 1, 2]


async def test_the_operator_writes_a_lost_desired_state_again_with_its_version(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_routes([make_route(1, "feed")])
        copied = harness.contents.revision
        harness.writers.write_routes([make_route(1, "archive")])
        newest = harness.document(DESIRED_STATE_KEY)

        harness.restore(copied)
        restored = harness.document(DESIRED_STATE_KEY)
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert restored != newest
        assert harness.document(DESIRED_STATE_KEY) == newest


async def test_a_new_version_replaces_the_repetition_of_a_lost_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_routes([make_route(1, "feed")])
        harness.restore(harness.contents.revision - 1)
        harness.writers.write_routes([make_route(1, "archive")])
        revision = harness.contents.revision

        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.contents.revision == revision


async def test_backend_servers_write_lost_entries_again_at_different_times(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        copied = harness.contents.revision
        keys = {f"servers/b{number}" for number in range(5)}
        for number in range(5):
            harness.writers.write_backend_server(make_record(f"b{number}"))

        harness.restore(copied)
        assert harness.contents.entries == {}
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.contents.entries.keys() == keys
        times = {change.written_at for change in harness.contents.history}
        assert len(times) == len(keys)
        assert {harness.field(key, "Seq") for key in keys} == {2}


async def test_entries_that_a_restore_did_not_lose_are_not_written_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_backend_server(make_record("b1"))
        copied = harness.contents.revision
        harness.writers.write_backend_server(make_record("b2"))

        harness.restore(copied)
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.field("servers/b1", "Seq") == 1
        assert harness.field("servers/b2", "Seq") == 2


async def test_a_draining_backend_server_is_ready_until_it_writes_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_backend_server(make_record("b1"))
        copied = harness.contents.revision
        harness.writers.write_backend_server(make_record("b1", state=DRAINING))

        harness.restore(copied)
        restored = harness.field("servers/b1", "State")
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert restored == "ready"
        assert harness.field("servers/b1", "State") == "draining"


async def test_a_removed_entry_is_back_until_its_lease_expires(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_backend_server(make_record("b1"))
        copied = harness.contents.revision
        harness.writers.remove_backend_server("b1")

        harness.restore(copied)
        await trio.sleep(LEASE_S - MARGIN_S)
        assert harness.document("servers/b1") is not None
        await trio.sleep(2 * MARGIN_S)

        assert harness.document("servers/b1") is None


async def test_a_backend_server_that_returns_keeps_its_removed_entry(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_backend_server(make_record("b1"))
        copied = harness.contents.revision
        harness.writers.remove_backend_server("b1")

        harness.restore(copied)
        harness.writers.write_backend_server(make_record("b1", started_at_ms=2000))
        await trio.sleep(LEASE_S + MARGIN_S)

        assert harness.field("servers/b1", "born") == 2000


async def test_a_lease_of_before_does_not_end_the_entry_of_a_running_backend_server(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        harness.writers.write_backend_server(make_record("b1"))
        copied = harness.contents.revision
        harness.writers.remove_backend_server("b1")

        # The copied entry is due to expire when a second restore loses the new one.
        harness.restore(copied)
        harness.writers.write_backend_server(make_record("b1", started_at_ms=2000))
        await trio.sleep(LEASE_S - MARGIN_S)
        harness.restore(copied)
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.field("servers/b1", "born") == 2000


async def test_a_crashed_backend_server_does_not_write_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        copied = harness.contents.revision
        harness.writers.write_backend_server(make_record("b1"))
        harness.writers.write_backend_server(make_record("b2"))
        harness.writers.stop_backend_server("b1")

        harness.restore(copied)
        harness.writers.stop_backend_server("b2")
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.contents.entries == {}


async def test_a_second_restore_does_not_prevent_the_repetition_of_lost_writes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with open_writers() as harness:
        copied = harness.contents.revision
        harness.writers.write_routes([make_route(1, "feed")])
        harness.writers.write_backend_server(make_record("b1"))

        harness.restore(copied)
        await trio.sleep(REWRITE_PERIOD_S / 2)
        harness.restore(copied)
        await trio.sleep(REWRITE_PERIOD_S + MARGIN_S)

        assert harness.contents.entries.keys() == {DESIRED_STATE_KEY, "servers/b1"}
