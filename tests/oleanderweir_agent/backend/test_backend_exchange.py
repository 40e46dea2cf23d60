from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir_agent.backend import BackendBrokenError
from oleanderweir_agent.backend import BackendExchange
from oleanderweir_agent.backend import InvalidRequestError
from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import Request


if TYPE_CHECKING:
    from trio.testing import MockClock


def make_request(
    *,
    method: str = "POST",
    path: str = "/reports",
    headers: tuple[Header, ...] = (),
    body: bytes = b"report",
    deadline: float = math.inf,
) -> Request:
    return Request(
        request_id="r-1",
        method=method,
        path=path,
        headers=headers,
        body=body,
        arrived_at=0.0,
        deadline=deadline,
    )


def make_exchange() -> tuple[BackendExchange, trio.abc.Stream]:
    local, remote = trio.testing.memory_stream_pair()
    return BackendExchange(stream=local), remote


async def read_response(response: bytes, *, method: str = "POST") -> bytes:
    exchange, remote = make_exchange()
    exchange.encode(make_request(method=method, body=b""))
    await remote.send_all(response)
    await remote.aclose()
    head = await exchange.read_head()
    assert head.status in {200, 204}
    return b"".join([data async for data in exchange.read_body()])


def test_hop_by_hop_and_forged_fields_are_not_forwarded() -> None:
    exchange, _ = make_exchange()
    headers = (
        Header(name=b":authority", value=b"horaflujo"),
        Header(name=b"host", value=b"elsewhere"),
        Header(name=b"connection", value=b"keep-alive"),
        Header(name=b"transfer-encoding", value=b"chunked"),
        Header(name=b"content-length", value=b"9999"),
        Header(name=b"request-id", value=b"forged"),
        Header(name=b"x-station", value=b"17"),
    )

    data = exchange.encode(make_request(headers=headers)).lower()

    assert b"host: horaflujo\r\n" in data
    assert b"content-length: 6\r\n" in data
    assert b"request-id: r-1\r\n" in data
    assert b"x-station: 17\r\n" in data
    for absent in (b"elsewhere", b"keep-alive", b"chunked", b"9999", b"forged"):
        assert absent not in data


async def test_remaining_time_is_forwarded(autojump_clock: MockClock) -> None:
    exchange, _ = make_exchange()
    headers = (Header(name=b"request-timeout-ms", value=b"60000"),)
    request = make_request(headers=headers, deadline=trio.current_time() + 5.0)
    await trio.sleep(2.0)

    data = exchange.encode(request).lower()

    assert data.count(b"request-timeout-ms") == 1
    assert b"request-timeout-ms: 3000\r\n" in data


@pytest.mark.parametrize(
    ("method", "path", "headers"),
    [
        ("CONNECT", "/", ()),
        ("GET x", "/", ()),
        ("GET", "/a b", ()),
        ("GET", "/a\r\nx: y", ()),
        ("GET", "/", (Header(name=b"x", value=b"a\r\nhost: b"),)),
        ("GET", "/", (Header(name=b"bad name", value=b"a"),)),
    ],
    ids=["connect", "method", "space", "line-break", "value", "name"],
)
def test_invalid_request_is_rejected_before_sending(
    method: str, path: str, headers: tuple[Header, ...]
) -> None:
    exchange, _ = make_exchange()

    with pytest.raises(InvalidRequestError):
        exchange.encode(make_request(method=method, path=path, headers=headers))


@pytest.mark.parametrize(
    ("response", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            b"abc",
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    ],
    ids=["length", "chunks", "no-content"],
)
async def test_framed_response_is_read_completely(response: bytes, body: bytes) -> None:
    assert await read_response(response) == body


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nabc",
        b"HTTP/1.1 20",
        b"",
    ],
    ids=["short", "last-chunk-missing", "close-delimited", "head-truncated", "empty"],
)
async def test_possibly_truncated_response_is_an_error(response: bytes) -> None:
    with pytest.raises(BackendBrokenError):
        await read_response(response)
