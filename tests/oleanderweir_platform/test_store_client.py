from __future__ import annotations

import base64
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import SourceBusyError
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from oleanderweir.net import SocketAddress
from oleanderweir_platform.store_client import StoreClient


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# How long machines take to be in touch with the store again after the last fault.
STABLE_S = 4.0


def make_item(key: str, revision: int) -> dict[str, Any]:
    value = base64.b64encode(b"{}").decode()
    return {"Key": key, "Value": value, "Revision": revision, "Lease": 0}


def make_response(status: int, body: object, *, era: int = 0) -> bytes:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
    if era:
        head += f"Store-Era: {era}\r\n"
    return head.encode() + b"Connection: close\r\n\r\n" + data


@asynccontextmanager
async def serve(*responses: bytes) -> AsyncIterator[tuple[StoreClient, list[str]]]:
    """Run a store that sends ``responses`` in turn; yield a client and the targets."""
    targets: list[str] = []
    remaining = list(responses)

    async def respond(stream: trio.SocketStream) -> None:
        request = b""
        while b"\r\n\r\n" not in request:
            request += await stream.receive_some(4096)
        targets.append(request.split(b" ")[1].decode())
        await stream.send_all(remaining.pop(0))
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            lambda task_status: trio.serve_tcp(
                respond, 0, host="127.0.0.1", task_status=task_status
            )
        )
        port = listeners[0].socket.getsockname()[1]
        client = StoreClient(address=SocketAddress(host="127.0.0.1", port=port))
        yield client, targets
        nursery.cancel_scope.cancel()


async def test_all_pages_of_a_topic_are_listed() -> None:
    first = {
        "items": [make_item("servers/a", 3)],
        "Truncated": True,
        "StoreRevision": 9,
    }
    last = {
        "items": [make_item("servers/b", 4)],
        "Truncated": False,
        "StoreRevision": 11,
    }
    responses = (make_response(200, first), make_response(200, last))
    async with serve(*responses) as (client, targets):
        listing = await client.list(Topic.BACKEND_SERVERS)

    assert [change.name for change in listing.documents] == ["servers/a", "servers/b"]
    # The watch starts at the revision of the first page, so that it delivers changes
    # made between the pages.
    assert listing.revision == 9
    assert "after=servers%2Fa" in targets[1]


async def test_changes_and_removals_are_watched() -> None:
    body = {
        "events": [
            make_item("servers/a", 12),
            {"Key": "servers/b", "Revision": 13, "Removed": True},
        ],
        "StoreRevision": 13,
    }
    async with serve(make_response(200, body)) as (client, targets):
        changes = await client.watch(Topic.BACKEND_SERVERS, after=11, wait_s=5.0)

    assert changes.revision == 13
    assert [change.document for change in changes.changes] == [b"{}", None]
    assert "after=11" in targets[0]
    assert "WaitMs=5000" in targets[0]


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (make_response(410, {}), HistoryLostError),
        (make_response(429, {}), SourceBusyError),
        (make_response(503, {}), SourceBusyError),
        (make_response(500, {}), SourceUnavailableError),
        (make_response(200, {"events": "none"}), SourceUnavailableError),
        (b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{", SourceUnavailableError),
        (b"", SourceUnavailableError),
    ],
    ids=[
        "history-lost",
        "rate-limited",
        "busy",
        "server-error",
        "invalid-body",
        "truncated",
        "closed",
    ],
)
async def test_a_failed_call_raises_the_error_for_its_cause(
    response: bytes, error: type[Exception]
) -> None:
    async with serve(response) as (client, _):
        with pytest.raises(error):
            await client.watch(Topic.DESIRED_STATE, after=1, wait_s=1.0)


def make_page(revision: int, *keys: str, truncated: bool = False) -> dict[str, Any]:
    items = [make_item(key, revision) for key in keys]
    return {"items": items, "Truncated": truncated, "StoreRevision": revision}


async def test_positions_grow_when_a_restore_sets_the_revision_back() -> None:
    before = make_response(200, make_page(900, "op/config"), era=1)
    after = make_response(200, make_page(20, "op/config"), era=2)
    async with serve(before, after) as (client, _):
        old = await client.list(Topic.DESIRED_STATE)
        new = await client.list(Topic.DESIRED_STATE)

    assert new.revision > old.revision
    assert new.documents[0].revision > old.documents[0].revision


async def test_a_watch_sends_the_revision_and_continues_in_its_era() -> None:
    listed = make_response(200, make_page(20, "op/config"), era=2)
    body = {"events": [make_item("op/config", 21)], "StoreRevision": 21}
    async with serve(listed, make_response(200, body, era=2)) as (client, targets):
        listing = await client.list(Topic.DESIRED_STATE)
        changes = await client.watch(
            Topic.DESIRED_STATE, after=listing.revision, wait_s=1.0
        )

    assert "after=20&" in targets[1]
    assert changes.revision == listing.revision + 1
    assert changes.changes[0].revision == listing.revision + 1


@pytest.mark.parametrize("events", [[], [make_item("op/config", 21)]])
async def test_a_watch_that_resumes_in_another_history_loses_its_own(
    events: list[dict[str, Any]],
) -> None:
    listed = make_response(200, make_page(20, "op/config"), era=1)
    body = {"events": events, "StoreRevision": 21}
    async with serve(listed, make_response(200, body, era=2)) as (client, _):
        listing = await client.list(Topic.DESIRED_STATE)

        with pytest.raises(HistoryLostError):
            await client.watch(Topic.DESIRED_STATE, after=listing.revision, wait_s=1.0)


async def test_a_listing_with_pages_of_two_eras_fails() -> None:
    first = make_response(200, make_page(20, "servers/a", truncated=True), era=1)
    last = make_response(200, make_page(9, "servers/b"), era=2)
    async with serve(first, last) as (client, _):
        with pytest.raises(SourceUnavailableError):
            await client.list(Topic.BACKEND_SERVERS)


async def test_a_watch_whose_opening_packet_is_lost_fails_before_its_wait_ends(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def connect(host: str, port: int) -> trio.SocketStream:
        # The packet is sent again after 1, 3, 7 and 15 seconds.
        await trio.sleep(15)
        raise AssertionError("the client waited too long for a connection")

    monkeypatch.setattr(trio, "open_tcp_stream", connect)
    client = StoreClient(address=SocketAddress(host="127.0.0.1", port=1))

    with trio.fail_after(STABLE_S), pytest.raises(SourceUnavailableError):
        await client.watch(Topic.DESIRED_STATE, after=1, wait_s=28.0)


async def test_a_document_beside_the_desired_state_is_not_taken_for_it() -> None:
    keys = ("op/config", "op/config-next")
    events = [make_item(key, 21) for key in keys]
    responses = (
        make_response(200, make_page(20, *keys, truncated=True)),
        make_response(200, make_page(20, "op/config/2")),
        make_response(200, {"events": events, "StoreRevision": 21}),
    )
    async with serve(*responses) as (client, targets):
        listing = await client.list(Topic.DESIRED_STATE)
        changes = await client.watch(Topic.DESIRED_STATE, after=20, wait_s=1.0)

    assert [change.name for change in listing.documents] == ["op/config"]
    assert "after=op%2Fconfig-next" in targets[1]
    assert [change.name for change in changes.changes] == ["op/config"]
    assert changes.revision == 21


async def test_a_watch_loses_its_history_however_many_restores_it_missed() -> None:
    body = make_response(200, {"events": [], "StoreRevision": 21}, era=4)
    async with serve(body) as (client, _):
        with pytest.raises(HistoryLostError):
            await client.watch(
                Topic.DESIRED_STATE,
                after=make_position(history=2, revision=20),
                wait_s=1.0,
            )


async def test_a_watch_without_an_era_loses_its_history() -> None:
    body = make_response(200, {"events": [], "StoreRevision": 21})
    async with serve(body) as (client, _):
        with pytest.raises(HistoryLostError):
            await client.watch(
                Topic.DESIRED_STATE,
                after=make_position(history=2, revision=20),
                wait_s=1.0,
            )


@pytest.mark.parametrize("revision", [2**40 - 1, 2**40, 2**63 - 1])
async def test_a_watch_from_a_revision_of_any_size_continues(revision: int) -> None:
    listed = make_response(200, make_page(revision, "op/config"), era=1)
    body = make_response(200, {"events": [], "StoreRevision": revision}, era=1)
    async with serve(listed, body) as (client, targets):
        listing = await client.list(Topic.DESIRED_STATE)
        await client.watch(Topic.DESIRED_STATE, after=listing.revision, wait_s=1.0)

    assert f"after={revision}&" in targets[1]


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_a_failed_call_of_another_era_loses_no_history(status: int) -> None:
    async with serve(make_response(status, {}, era=4)) as (client, _):
        with pytest.raises(SourceUnavailableError):
            await client.watch(
                Topic.DESIRED_STATE,
                after=make_position(history=2, revision=20),
                wait_s=1.0,
            )


ODD_ITEMS: list[object] = [
    {},
    [],
    None,
    {"Key": 7, "Value": "", "Revision": 5},
    {"Key": "servers/\ud800", "Value": "", "Revision": 5},
    {"Key": "servers/" + "x" * 200, "Value": "", "Revision": 5},
    {"Key": "servers/odd", "Value": ""},
    {"Key": "servers/odd", "Value": "", "Revision": "5"},
    {"Key": "servers/odd", "Value": "", "Revision": 2**64},
    {"Key": "servers/odd", "Value": "", "Revision": -1},
]


@pytest.mark.parametrize("odd", ODD_ITEMS, ids=lambda item: repr(item)[:60])
async def test_an_odd_item_keeps_no_process_from_the_others(odd: object) -> None:
    items = [make_item("servers/a", 3), odd, make_item("servers/b", 4)]
    page = {"items": items, "Truncated": False, "StoreRevision": 9}
    events = {"events": items, "StoreRevision": 9}
    responses = (make_response(200, page), make_response(200, events))
    async with serve(*responses) as (client, _):
        listing = await client.list(Topic.BACKEND_SERVERS)
        changes = await client.watch(Topic.BACKEND_SERVERS, after=0, wait_s=1.0)

    for found in (listing.documents, changes.changes):
        assert [change.name for change in found] == ["servers/a", "servers/b"]


@pytest.mark.parametrize(
    "value",
    [None, 7, ["e30="], "e30", "\u0663", base64.b64encode(b"{" * 2**20).decode()],
    ids=lambda value: repr(value)[:40],
)
async def test_an_item_with_an_odd_value_names_an_invalid_document(
    value: object,
) -> None:
    item = {"Key": "servers/odd", "Value": value, "Revision": 5}
    page = {"items": [item], "Truncated": False, "StoreRevision": 9}
    async with serve(make_response(200, page)) as (client, _):
        listing = await client.list(Topic.BACKEND_SERVERS)

    assert [change.document for change in listing.documents] == [b""]


async def test_a_deeply_nested_response_fails_one_call() -> None:
    body = b"[" * 100_000
    head = f"HTTP/1.1 200 x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    async with serve(head + body) as (client, _):
        with pytest.raises(SourceUnavailableError):
            await client.list(Topic.BACKEND_SERVERS)


async def test_evacuation_orders_are_read_with_the_desired_state() -> None:
    removal = {"Key": "op/evacuate/a", "Revision": 22, "Removed": True}
    responses = (
        make_response(200, make_page(20, "op/config", "op/evacuate/a", "op/other")),
        make_response(200, {"events": [removal], "StoreRevision": 22}),
    )
    async with serve(*responses) as (client, targets):
        listing = await client.list(Topic.DESIRED_STATE)
        changes = await client.watch(Topic.DESIRED_STATE, after=20, wait_s=1.0)

    assert [c.name for c in listing.documents] == ["op/config", "op/evacuate/a"]
    assert [(c.name, c.document) for c in changes.changes] == [("op/evacuate/a", None)]
    assert all("Prefix=op%2F&" in f"{target}&" for target in targets)
