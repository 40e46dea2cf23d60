from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio_asyncio

from oleanderweir.replication import GrpcPeerTransport
from oleanderweir.replication import PeerUnavailableError
from oleanderweir.replication import StreamService
from oleanderweir_agent.peers.grpc_relay_connector import RELAY_METHOD
from oleanderweir_agent.peers.grpc_relay_connector import GrpcRelayConnector
from oleanderweir_bench.keys import CertificateAuthority
from tests.oleanderweir.helpers_admin import find_free_address


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.replication import PeerStream


async def echo(stream: PeerStream) -> None:
    while True:
        await stream.send(b"echo " + await stream.receive())


async def ignore(stream: PeerStream) -> None:
    del stream


async def test_offers_share_one_channel_and_close_independently(tmp_path: Path) -> None:
    address = find_free_address()
    credentials = CertificateAuthority().write_peer_credentials(tmp_path)
    transport = GrpcPeerTransport(
        bind_address=address,
        credentials=credentials,
        other_services=[StreamService(method=RELAY_METHOD, handler=echo)],
    )
    async with trio_asyncio.open_loop(), transport.serve(ignore):
        connector = GrpcRelayConnector(credentials=credentials)
        async with connector.connect(address) as first:
            async with connector.connect(address) as second:
                await second.send(b"two")
                await first.send(b"one")
                replies = [await first.receive(), await second.receive()]
            await first.send(b"three")
            replies.append(await first.receive())
        connector.close()

    assert replies == [b"echo one", b"echo two", b"echo three"]
    assert len(connector.channels) == 1


async def test_a_peer_that_does_not_listen_is_unavailable(tmp_path: Path) -> None:
    connector = GrpcRelayConnector(
        credentials=CertificateAuthority().write_peer_credentials(tmp_path)
    )

    async with trio_asyncio.open_loop():
        with pytest.raises(PeerUnavailableError):
            async with connector.connect(find_free_address()):
                raise AssertionError
        connector.close()


async def test_a_peer_of_another_authority_is_unavailable(tmp_path: Path) -> None:
    own, foreign = tmp_path / "own", tmp_path / "foreign"
    own.mkdir()
    foreign.mkdir()
    address = find_free_address()
    transport = GrpcPeerTransport(
        bind_address=address,
        credentials=CertificateAuthority().write_peer_credentials(foreign),
        other_services=[StreamService(method=RELAY_METHOD, handler=echo)],
    )
    async with trio_asyncio.open_loop(), transport.serve(ignore):
        connector = GrpcRelayConnector(
            credentials=CertificateAuthority().write_peer_credentials(own)
        )
        with pytest.raises(PeerUnavailableError):
            async with connector.connect(address):
                raise AssertionError
        connector.close()
