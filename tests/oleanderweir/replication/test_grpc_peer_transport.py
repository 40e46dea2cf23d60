from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir.net import AddressInUseError
from oleanderweir.net import SocketAddress
from oleanderweir.replication import GrpcPeerTransport
from oleanderweir.replication import InvalidPeerCredentialsError
from oleanderweir.replication import PeerClosedError
from oleanderweir.replication import PeerCredentials
from oleanderweir.replication import PeerUnavailableError
from oleanderweir.replication.peer_message_codec import MAX_ENCODED_BYTES
from oleanderweir_bench.spreading.peer_certificates import write_peer_credentials


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.replication import PeerStream


def make_transport(folder: Path) -> GrpcPeerTransport:
    folder.mkdir(exist_ok=True)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    return GrpcPeerTransport(
        bind_address=SocketAddress(host="127.0.0.1", port=port),
        credentials=write_peer_credentials(folder),
    )


async def echo(stream: PeerStream) -> None:
    try:
        while True:
            await stream.send(await stream.receive())
    except PeerClosedError:
        return


async def greet(stream: PeerStream) -> None:
    await stream.send(b"welcome")
    await echo(stream)


async def test_messages_pass_in_order_and_both_ways(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with (
        transport.serve(greet),
        transport.connect(str(transport.bind_address)) as stream,
    ):
        assert await stream.receive() == b"welcome"
        for number in range(20):
            await stream.send(bytes([number]))
        assert [await stream.receive() for _ in range(20)] == [
            bytes([number]) for number in range(20)
        ]


async def test_stranger_is_refused(tmp_path: Path) -> None:
    transport = make_transport(tmp_path / "own")
    stranger = make_transport(tmp_path / "stranger")
    accepted: list[PeerStream] = []

    async def accept(stream: PeerStream) -> None:
        accepted.append(stream)

    async with transport.serve(accept), stranger.serve(accept):
        with pytest.raises((PeerUnavailableError, PeerClosedError)):
            async with stranger.connect(str(transport.bind_address)) as stream:
                await stream.receive()
    assert not accepted


async def test_address_without_listener_is_unavailable(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    other = make_transport(tmp_path)
    async with transport.serve(echo):
        with pytest.raises(PeerUnavailableError):
            async with other.connect(str(other.bind_address)):
                pass


async def test_closing_one_end_ends_the_other(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    ended = trio.Event()

    async def wait_for_end(stream: PeerStream) -> None:
        try:
            await greet(stream)
        finally:
            ended.set()

    async with transport.serve(wait_for_end):
        async with transport.connect(str(transport.bind_address)) as stream:
            await stream.receive()
        await ended.wait()


async def test_oversized_message_ends_the_session(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with (
        transport.serve(greet),
        transport.connect(str(transport.bind_address)) as stream,
    ):
        await stream.receive()
        await stream.send(b"x" * (MAX_ENCODED_BYTES + 1))
        with pytest.raises(PeerClosedError):
            await stream.receive()


async def test_taken_address_is_told(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with transport.serve(echo):
        with pytest.raises(AddressInUseError):
            async with transport.serve(echo):
                pass


def test_missing_credentials_are_told(tmp_path: Path) -> None:
    path = str(tmp_path / "missing.pem")
    credentials = PeerCredentials(
        certificate_path=path, key_path=path, authority_path=path
    )
    with pytest.raises(InvalidPeerCredentialsError):
        credentials.client_context()
