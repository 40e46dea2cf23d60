"""A client and a server connection that exchange packets in memory."""

from __future__ import annotations

import datetime
import ssl

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.net import SocketAddress
from oleanderweir_agent.quic import ConnectionIdIssuer
from oleanderweir_agent.quic.server_connection import ServerConnection
from tests.oleanderweir.helpers import make_key_ring


CALLER = ("127.0.0.1", 50000)
AGENT = ("127.0.0.1", 4433)
SERVICE = SocketAddress.parse("192.0.2.1:443").packed
AGENT_ADDRESS = SocketAddress.parse("127.0.0.1:4433")
INCARNATION = 7
ROUNDS = 20


def make_issuer(incarnation: int = INCARNATION) -> ConnectionIdIssuer:
    return ConnectionIdIssuer(
        codec=ConnectionIdCodec(key_ring=make_key_ring()),
        agent_address=AGENT_ADDRESS,
        incarnation=incarnation,
    )


def make_server_configuration() -> QuicConfiguration:
    configuration = QuicConfiguration(
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_LENGTH_BYTES,
        is_client=False,
    )
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test")])
    start = datetime.datetime(2026, 1, 1)  # noqa: DTZ001
    configuration.certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .sign(key, hashes.SHA256())
    )
    configuration.private_key = key
    return configuration


class ConnectionPair:
    """A client and a server connection whose packets arrive without delay."""

    def __init__(self) -> None:
        self.now = 0.0
        self.to_server: list[bytes] = []
        self.client = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=H3_ALPN, verify_mode=ssl.CERT_NONE
            )
        )
        self.client.connect(AGENT, self.now)
        self.server = ServerConnection(
            configuration=make_server_configuration(),
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
            retry_source_connection_id=None,
            issuer=make_issuer(),
            service=SERVICE,
        )
        self.exchange()

    def exchange(self) -> None:
        for _ in range(ROUNDS):
            self.now += 0.01
            for data, _ in self.client.datagrams_to_send(self.now):
                self.to_server.append(data)
                self.server.receive_datagram(data, CALLER, self.now)
            for data, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(data, AGENT, self.now)
