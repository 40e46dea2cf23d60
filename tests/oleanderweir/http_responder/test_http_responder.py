from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.http_responder import HttpResponder
from oleanderweir.http_responder import HttpResponse


def make_responder() -> HttpResponder:
    return HttpResponder(
        handlers={"/ready": lambda: HttpResponse(status=200, body=b"ok")}
    )


async def exchange(*requests: bytes) -> bytes:
    """Return the responses to these requests on one connection."""
    client, server = trio.testing.memory_stream_pair()
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_responder().serve, server)
        for request in requests:
            await client.send_all(request)
            received += await client.receive_some(4096)
        await client.aclose()
    return received


async def test_a_known_path_is_served() -> None:
    response = await exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")

    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"ok")


async def test_one_connection_serves_several_requests() -> None:
    request = b"GET /ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"

    assert (await exchange(request, request)).count(b"HTTP/1.1 200") == 2


async def test_other_paths_and_methods_are_rejected() -> None:
    assert b" 404 " in await exchange(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    post = b"POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    assert b" 405 " in await exchange(post)


@pytest.mark.parametrize("data", [b"\x00\x01\r\n\r\n", b"GET \xff HTTP/1.1\r\n\r\n"])
async def test_invalid_http_closes_the_connection(data: bytes) -> None:
    client, server = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_responder().serve, server)
        await client.send_all(data)
        assert await client.receive_some(4096) == b""


@pytest.mark.parametrize(
    "request_head",
    [
        b"HEAD /ready HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /ready HTTP/1.0\r\n\r\n",
        b"OPTIONS * HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /ready HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
)
async def test_an_unusual_request_is_answered(request_head: bytes) -> None:
    assert (await exchange(request_head)).startswith(b"HTTP/1.1 ")


async def test_pipelined_requests_are_answered_in_order() -> None:
    request = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
    client, server = trio.testing.memory_stream_pair()
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_responder().serve, server)
        await client.send_all(request * 3)
        with trio.move_on_after(1.0):
            while received.count(b"HTTP/1.1 200") < 3:
                received += await client.receive_some(4096)
        await client.aclose()

    assert received.count(b"HTTP/1.1 200") == 3


async def test_a_head_request_gets_no_body() -> None:
    response = await exchange(b"HEAD /ready HTTP/1.1\r\nHost: a\r\n\r\n")

    assert response.startswith(b"HTTP/1.1 200")
    assert b"content-length: 2" in response.lower()
    assert response.endswith(b"\r\n\r\n")
