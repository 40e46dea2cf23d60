"""
Extensions of aioquic that depend on its private attributes.

aioquic 1.7 generates random connection IDs, cannot send GOAWAY and does not expose
how many bytes a stream buffers. This module adds all three. Only this module uses
private attributes of aioquic. The version is pinned, and tests cover each use.
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
    The server side of a QUIC connection, with connection IDs from an issuer.

    ``service`` is the packed address of the service to which the caller connected.
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
        """The connection IDs that the caller may use as destination."""
        return [connection_id.cid for connection_id in self._host_cids]

    @property
    def is_confirmed(self) -> bool:
        """Whether the handshake is complete."""
        return self._handshake_complete

    @property
    def probe_count(self) -> int:
        """The number of probe timeouts since the last acknowledgement."""
        return self._loss._pto_count

    @property
    def is_fully_acknowledged(self) -> bool:
        """Whether the caller has acknowledged the data of all streams."""
        return not any(stream.sender._buffer for stream in self._streams.values())

    def buffered_bytes(self, stream_id: int) -> int:
        """Return the number of bytes of a stream that are not yet acknowledged."""
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
    """The server side of an HTTP/3 connection that can send GOAWAY."""

    def __init__(self, *, quic: ServerConnection) -> None:
        super().__init__(quic)
        self.highest_request_id = -4

    def record_request(self, stream_id: int) -> None:
        """Record the stream of a request; GOAWAY names the next request stream."""
        self.highest_request_id = max(self.highest_request_id, stream_id)

    def send_goaway(self) -> None:
        """Ask the caller to send later requests elsewhere (RFC 9114, 5.2)."""
        control_stream: Any = self._local_control_stream_id
        frame = encode_frame(
            FrameType.GOAWAY, encode_uint_var(self.highest_request_id + 4)
        )
        self._quic.send_stream_data(control_stream, frame)
