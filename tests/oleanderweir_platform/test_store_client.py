from __future__ import annotations

import base64
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import pytest
import trio

from oleanderweir.desired_state import HistoryLostError
from oleanderweir.desired_state import SourceBusyError
from oleanderweir.desired_state import SourceUnavailableError
from oleanderweir.desired_state import Topic
from oleanderweir.net import SocketAddress
from oleanderweir_platform.store_client import StoreClient


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


def make_item(key: str, revision: int) -> dict[str, Any]:
    value = base64.b64encode(b"{}").decode()
    return {"Key": key, "Value": value, "Revision": revision, "Lease": 0}


def make_response(status: int, body: object) -> bytes:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
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
