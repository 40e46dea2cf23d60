from __future__ import annotations

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


async def test_invalid_http_closes_the_connection() -> None:
    client, server = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_responder().serve, server)
        await client.send_all(b"\x00\x01\r\n\r\n")
        assert await client.receive_some(4096) == b""
