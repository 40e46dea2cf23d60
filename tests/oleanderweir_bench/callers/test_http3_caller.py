from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio
from aioquic.h3.connection import ErrorCode

from oleanderweir.net import SocketAddress
from oleanderweir_bench.callers import CallerTimeoutError
from oleanderweir_bench.callers import Http3Caller
from oleanderweir_bench.callers import RequestResetError
from oleanderweir_bench.callers import SessionClosedError
from oleanderweir_bench.callers import SessionLeavingError
from oleanderweir_bench.keys import CertificateAuthority
from tests.oleanderweir_bench.callers.echo_server import EchoServer


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


AUTHORITY = CertificateAuthority()
KEY_PAIR = AUTHORITY.issue("horaflujo")


@asynccontextmanager
async def open_caller(server: EchoServer) -> AsyncIterator[Http3Caller]:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        async with Http3Caller(
            address=server.address,
            ca_pem=AUTHORITY.certificate_pem,
            server_name="horaflujo",
        ) as caller:
            yield caller
        nursery.cancel_scope.cancel()
    server.socket.close()


@pytest.mark.parametrize("sends_retry", [False, True], ids=["plain", "retry"])
async def test_request_gets_its_complete_response(sends_retry: bool) -> None:
    server = EchoServer(key_pair=KEY_PAIR, sends_retry=sends_retry)
    async with open_caller(server) as caller:
        response = await caller.request("POST", "/reports", body=b"x" * 1000)

    assert response.status == 200
    assert response.headers["kind"] == "echo"
    assert response.body == b"x" * 1000
    assert caller.handshake_s > 0


async def test_feed_is_read_by_lines_and_cancelled_on_exit() -> None:
    server = EchoServer(key_pair=KEY_PAIR)
    async with open_caller(server) as caller:
        async with await caller.open_feed("/feed") as feed:
            lines = [await anext(feed), await anext(feed)]
        while not server.resets:
            await trio.sleep(0.001)

    assert lines == ["tick 1", "tick 2"]
    assert server.resets == [ErrorCode.H3_REQUEST_CANCELLED]


async def test_rejected_stream_is_reported_as_not_run() -> None:
    async with open_caller(EchoServer(key_pair=KEY_PAIR)) as caller:
        with pytest.raises(RequestResetError) as raised:
            await caller.request("POST", "/rejected", body=b"x")

    assert raised.value.reset_code == ErrorCode.H3_REQUEST_REJECTED
    assert raised.value.is_not_run


async def test_after_goaway_no_request_is_sent() -> None:
    async with open_caller(EchoServer(key_pair=KEY_PAIR)) as caller:
        response = await caller.request("GET", "/leave")
        await caller.goaway_received.wait()
        with pytest.raises(SessionLeavingError) as raised:
            await caller.request("GET", "/leave")

    assert response.body == b"leaving"
    assert caller.control_stream.goaway_stream_id == 4
    assert raised.value.is_not_run


async def test_missing_response_is_a_timeout_and_the_request_may_have_run() -> None:
    async with open_caller(EchoServer(key_pair=KEY_PAIR)) as caller:
        with pytest.raises(CallerTimeoutError) as raised:
            await caller.request("GET", "/silent", timeout_s=0.05)

    assert not raised.value.is_not_run


async def test_untrusted_certificate_is_rejected() -> None:
    server = EchoServer(key_pair=CertificateAuthority().issue("horaflujo"))
    with pytest.RaisesGroup(SessionClosedError):
        async with open_caller(server):
            pytest.fail("the session was established")


async def test_unresponsive_address_is_a_timeout() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unresponsive:
        unresponsive.bind(("127.0.0.1", 0))
        address = SocketAddress(host="127.0.0.1", port=unresponsive.getsockname()[1])
        caller = Http3Caller(
            address=address,
            ca_pem=AUTHORITY.certificate_pem,
            server_name="horaflujo",
            connect_timeout_s=0.05,
        )
        with pytest.raises(CallerTimeoutError):
            async with caller:
                pytest.fail("the session was established")
