"""
The one place that reaches into aioquic.

aioquic 1.7 draws its connection IDs at random, sends no GOAWAY and does not tell how
much a stream still holds. This module supplies all three through attributes that
aioquic does not publish. The version is pinned, and a test guards every use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.connection import encode_frame
from aioquic.quic.connection import QuicConnection
from aioquic.quic.connection import QuicConnectionId


if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer


MAX_ACTIVE_CONNECTION_IDS = 8


class ServerConnection(QuicConnection):
    """
    A server's side of a QUIC connection whose IDs come from an issuer.

    ``service`` is the packed service address that the connection belongs to.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        retry_source_connection_id: bytes | None,
        issuer: ConnectionIdIssuer,
        service: bytes,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
            retry_source_connection_id=retry_source_connection_id,
        )
        self.issuer = issuer
        self.service = service
        self._host_cids = [self._issue(sequence_number=0, was_sent=True)]
        self.host_cid = self._host_cids[0].cid
        self._local_initial_source_connection_id = self.host_cid

    @property
    def host_connection_ids(self) -> list[bytes]:
        """The connection IDs that the caller may address."""
        return [connection_id.cid for connection_id in self._host_cids]

    @property
    def is_confirmed(self) -> bool:
        """Whether the handshake is complete."""
        return self._handshake_complete

    @property
    def probe_count(self) -> int:
        """How many probe timeouts passed since the caller last acknowledged."""
        return self._loss._pto_count

    @property
    def is_fully_acknowledged(self) -> bool:
        """Whether the caller has acknowledged every byte of every stream."""
        return not any(stream.sender._buffer for stream in self._streams.values())

    def buffered_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream wait to be sent or acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return len(stream.sender._buffer)

    def _issue(self, *, sequence_number: int, was_sent: bool) -> QuicConnectionId:
        cid = self.issuer.issue(self.service)
        return QuicConnectionId(
            cid=cid,
            sequence_number=sequence_number,
            stateless_reset_token=self.issuer.reset_token(cid),
            was_sent=was_sent,
        )

    def _replenish_connection_ids(self) -> None:
        wanted = min(MAX_ACTIVE_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            self._host_cids.append(
                self._issue(sequence_number=self._host_cid_seq, was_sent=False)
            )
            self._host_cid_seq += 1


class ServerH3Connection(H3Connection):
    """A server's side of HTTP/3 that can ask its caller to move."""

    def __init__(self, *, quic: ServerConnection) -> None:
        super().__init__(quic)
        self.highest_request_id = -4

    def record_request(self, stream_id: int) -> None:
        """Remember that a request came in, so that GOAWAY names the next one."""
        self.highest_request_id = max(self.highest_request_id, stream_id)

    def send_goaway(self) -> None:
        """Ask the caller to open its next requests elsewhere (RFC 9114, 5.2)."""
        control_stream: Any = self._local_control_stream_id
        frame = encode_frame(
            FrameType.GOAWAY, encode_uint_var(self.highest_request_id + 4)
        )
        self._quic.send_stream_data(control_stream, frame)
