from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir.net import AddressInUseError
from oleanderweir.replication import GrpcPeerTransport
from oleanderweir.replication import InvalidPeerCredentialsError
from oleanderweir.replication import PeerClosedError
from oleanderweir.replication import PeerCredentials
from oleanderweir.replication import PeerUnavailableError
from oleanderweir.replication.peer_message_codec import MAX_ENCODED_BYTES
from oleanderweir_bench.keys import CertificateAuthority
from tests.oleanderweir.helpers_admin import find_free_address


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.replication import PeerStream


def make_transport(folder: Path) -> GrpcPeerTransport:
    folder.mkdir(exist_ok=True)
    return GrpcPeerTransport(
        bind_address=find_free_address(),
        credentials=CertificateAuthority().write_peer_credentials(folder),
    )


async def echo(stream: PeerStream) -> None:
    try:
        while True:
            await stream.send(await stream.receive())
    except PeerClosedError:
        return


async def send_welcome_and_echo(stream: PeerStream) -> None:
    await stream.send(b"welcome")
    await echo(stream)


async def test_messages_arrive_in_order_in_both_directions(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with (
        transport.serve(send_welcome_and_echo),
        transport.connect(str(transport.bind_address)) as stream,
    ):
        assert await stream.receive() == b"welcome"
        for number in range(20):
            await stream.send(bytes([number]))
        assert [await stream.receive() for _ in range(20)] == [
            bytes([number]) for number in range(20)
        ]


async def test_peer_with_certificate_of_another_authority_is_rejected(
    tmp_path: Path,
) -> None:
    transport = make_transport(tmp_path / "own")
    foreign = make_transport(tmp_path / "foreign")
    accepted: list[PeerStream] = []

    async def accept(stream: PeerStream) -> None:
        accepted.append(stream)

    async with transport.serve(accept), foreign.serve(accept):
        with pytest.raises((PeerUnavailableError, PeerClosedError)):
            async with foreign.connect(str(transport.bind_address)) as stream:
                await stream.receive()
    assert not accepted


async def test_connecting_to_an_address_without_listener_raises(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    other = make_transport(tmp_path)
    async with transport.serve(echo):
        with pytest.raises(PeerUnavailableError):
            async with other.connect(str(other.bind_address)):
                pass


async def test_closing_the_client_stream_closes_the_server_stream(
    tmp_path: Path,
) -> None:
    transport = make_transport(tmp_path)
    closed = trio.Event()

    async def record_close(stream: PeerStream) -> None:
        try:
            await send_welcome_and_echo(stream)
        finally:
            closed.set()

    async with transport.serve(record_close):
        async with transport.connect(str(transport.bind_address)) as stream:
            await stream.receive()
        await closed.wait()


async def test_oversized_message_closes_the_session(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with (
        transport.serve(send_welcome_and_echo),
        transport.connect(str(transport.bind_address)) as stream,
    ):
        await stream.receive()
        await stream.send(b"x" * (MAX_ENCODED_BYTES + 1))
        with pytest.raises(PeerClosedError):
            await stream.receive()


async def test_address_in_use_raises(tmp_path: Path) -> None:
    transport = make_transport(tmp_path)
    async with transport.serve(echo):
        with pytest.raises(AddressInUseError):
            async with transport.serve(echo):
                pass


def test_missing_credential_files_raise(tmp_path: Path) -> None:
    path = str(tmp_path / "missing.pem")
    credentials = PeerCredentials(
        certificate_path=path, key_path=path, authority_path=path
    )
    with pytest.raises(InvalidPeerCredentialsError):
        credentials.client_context()
