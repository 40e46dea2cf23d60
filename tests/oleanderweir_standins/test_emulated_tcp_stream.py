from __future__ import annotations

import pytest
import trio
import trio.testing

from oleanderweir.net.keepalive import OPTIONS
from oleanderweir_standins import EmulatedTcpStream


def make_stream(*, has_keepalive: bool) -> EmulatedTcpStream:
    client_end, _ = trio.testing.memory_stream_pair()
    stream = EmulatedTcpStream(stream=client_end)
    for level, option, value in OPTIONS if has_keepalive else ():
        stream.setsockopt(level, option, value)
    return stream


async def test_a_stream_with_keepalive_breaks_once_its_peer_is_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stream = make_stream(has_keepalive=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.run_silent)
        silent_at = trio.current_time()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()

    assert trio.current_time() - silent_at == stream.keepalive_timeout_s
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some()


async def test_a_stream_without_keepalive_waits_for_its_silent_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stream = make_stream(has_keepalive=False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.run_silent)
        with pytest.raises(trio.TooSlowError), trio.fail_after(60):
            await stream.receive_some()
