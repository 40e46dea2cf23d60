from __future__ import annotations

import socket

import trio

from oleanderweir.net import enable_keepalive


# How long machines take to be in touch with each other after the last fault.
STABLE_S = 4


async def test_a_connection_to_a_silent_peer_ends_before_it_counts_as_stable() -> None:
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            lambda task_status: trio.serve_tcp(
                trio.aclose_forcefully, 0, host="127.0.0.1", task_status=task_status
            )
        )
        port = listeners[0].socket.getsockname()[1]
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        enable_keepalive(stream)

        assert stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = get_tcp_option(stream, socket.TCP_KEEPIDLE)
        interval_s = get_tcp_option(stream, socket.TCP_KEEPINTVL)
        probes = get_tcp_option(stream, socket.TCP_KEEPCNT)
        assert idle_s + interval_s * probes < STABLE_S
        user_timeout_ms = get_tcp_option(stream, socket.TCP_USER_TIMEOUT)
        assert 0 < user_timeout_ms < STABLE_S * 1000
        nursery.cancel_scope.cancel()


def get_tcp_option(stream: trio.SocketStream, option: int) -> int:
    value = stream.getsockopt(socket.IPPROTO_TCP, option)
    assert isinstance(value, int)
    return value
