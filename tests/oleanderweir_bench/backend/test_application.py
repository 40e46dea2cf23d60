from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from oleanderweir.net import SocketAddress
from oleanderweir_bench.backend import Application
from oleanderweir_bench.backend import BackendOptions
from oleanderweir_bench.backend import Executor
from oleanderweir_bench.backend import RunLedger
from oleanderweir_bench.backend import RunOutcome
from oleanderweir_bench.console.serving import serve_application


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio.testing import MockClock


def create_application(options: BackendOptions) -> Application:
    ledger = RunLedger(backend_server="horaflujo-1", now=trio.current_time)
    executor = Executor(options=options, ledger=ledger)
    return Application(executor=executor, service="horaflujo")


def open_client(application: Application) -> httpx.AsyncClient:
    transport = httpx.ASGITransport(app=application.asgi)
    return httpx.AsyncClient(transport=transport, base_url="http://backend")


@asynccontextmanager
async def open_server(application: Application) -> AsyncIterator[httpx.AsyncClient]:
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        host, port = reserved.getsockname()
    address = SocketAddress(host=host, port=port)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_application, application.asgi, address)
        async with httpx.AsyncClient(base_url=f"http://{address}") as client:
            yield client
        nursery.cancel_scope.cancel()


async def test_bulletin_is_always_the_same_text(autojump_clock: MockClock) -> None:
    async with open_client(create_application(BackendOptions())) as client:
        first = await client.get("/bulletin")
        second = await client.get("/bulletin")

    assert first.status_code == 200
    assert first.text == second.text
    assert first.headers["backend-server"] == "horaflujo-1"


@pytest.mark.parametrize("path", ["/reports", "/confirmations"])
async def test_item_is_recorded_in_the_ledger(
    autojump_clock: MockClock, path: str
) -> None:
    application = create_application(BackendOptions())
    async with open_client(application) as client:
        response = await client.post(
            path, json={"id": "a-1"}, headers={"Request-Id": "r-1"}
        )
        ledger = (await client.get("/ledger")).json()

    assert response.json() == {"id": "a-1"}
    [record] = ledger
    assert (record["request_id"], record["item_id"]) == ("r-1", "a-1")
    assert record["outcome"] == RunOutcome.RAN.value


@pytest.mark.parametrize(
    ("method", "path", "body", "headers"),
    [
        ("POST", "/reports", b"no json", {}),
        ("POST", "/reports", b"{}", {}),
        ("GET", "/work?ms=nan", b"", {}),
        ("GET", "/proof?bytes=-1", b"", {}),
        ("GET", "/feed?interval_ms=0", b"", {}),
        ("GET", "/work", b"", {"Request-Timeout-Ms": "soon"}),
    ],
    ids=[
        "invalid-json",
        "missing-id",
        "nan",
        "negative-size",
        "zero-interval",
        "invalid-timeout",
    ],
)
async def test_invalid_request_is_rejected_and_not_run(
    autojump_clock: MockClock,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> None:
    application = create_application(BackendOptions())
    async with open_client(application) as client:
        response = await client.request(method, path, content=body, headers=headers)

    assert response.status_code == 400
    assert response.headers["request-not-run"] == "1"
    assert not application.executor.ledger.records


async def test_full_backend_server_sheds(autojump_clock: MockClock) -> None:
    application = create_application(BackendOptions(slots=1, queue_limit=0))
    async with open_client(application) as client, trio.open_nursery() as nursery:
        nursery.start_soon(client.get, "/work?ms=1000")
        await trio.sleep(0.5)
        response = await client.get("/work")

    assert response.status_code == 503
    assert response.headers["request-not-run"] == "1"
    assert response.headers["retry-after"] == "1"


@pytest.mark.parametrize(
    ("timeout_ms", "is_not_run"), [("0", True), ("10", False)], ids=["waiting", "late"]
)
async def test_timeout_response_states_whether_the_request_was_run(
    autojump_clock: MockClock, timeout_ms: str, is_not_run: bool
) -> None:
    async with open_client(create_application(BackendOptions())) as client:
        response = await client.get(
            "/work?ms=1000", headers={"Request-Timeout-Ms": timeout_ms}
        )

    assert response.status_code == 504
    assert ("request-not-run" in response.headers) is is_not_run


async def test_options_override_the_reported_load_and_health(
    autojump_clock: MockClock,
) -> None:
    application = create_application(BackendOptions())
    async with open_client(application) as client:
        actual = (await client.get("/load")).json()
        await client.put("/knobs", json={"reported_busy": 3, "reported_healthy": False})
        await trio.sleep(1.0)
        overridden = (await client.get("/load")).json()
        health = await client.get("/health")

    assert (actual["busy"], overridden["busy"]) == (0, 3)
    assert health.status_code == 503


async def test_load_report_is_reused_until_its_maximum_age(
    autojump_clock: MockClock,
) -> None:
    application = create_application(BackendOptions(load_lag_s=5.0))
    taken_at = []
    async with open_client(application) as client:
        for _ in range(3):
            taken_at.append((await client.get("/load")).json()["taken_at"])
            await trio.sleep(3.0)

    assert taken_at == [0.0, 0.0, 6.0]


async def test_feed_ticks_until_its_caller_disconnects() -> None:
    application = create_application(BackendOptions(connections=1))
    async with open_server(application) as client:
        async with client.stream("GET", "/feed?interval_ms=1") as feed:
            lines = feed.aiter_lines()
            ticks = [await anext(lines) for _ in range(5)]
            rejected = await client.get("/feed")
        while application.feeds.open_feeds:
            await trio.sleep(0.001)

    assert ticks == [f"tick {number}" for number in range(1, 6)]
    assert rejected.status_code == 503


async def test_work_stops_when_its_caller_disconnects() -> None:
    application = create_application(BackendOptions(slots=1))
    async with open_server(application) as client:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(client.get, "/work?ms=600000", timeout=None))
            while not application.executor.busy:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
        while application.executor.busy:
            await trio.sleep(0.001)

    [record] = application.executor.ledger.records
    assert record.outcome is RunOutcome.CANCELLED
