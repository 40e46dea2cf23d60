from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import attrs
import trio
from aioquic.buffer import Buffer
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import ErrorCode
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.connection import encode_frame
from aioquic.h3.events import DataReceived
from aioquic.h3.events import H3Event
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset
from aioquic.quic.packet import encode_quic_retry
from aioquic.quic.packet import pull_quic_header
from aioquic.tls import load_pem_private_key
from aioquic.tls import load_pem_x509_certificates

from oleanderweir.net import SocketAddress


if TYPE_CHECKING:
    from oleanderweir_bench.keys import KeyPair


RETRY_CONNECTION_ID = b"retry-id"
CONTROL_STREAM_ID = 3


@attrs.define(kw_only=True, eq=False)
class EchoServer:
    """
    An HTTP/3 server for one session.

    ``/reports`` returns the request body, ``/feed`` sends two ticks and stays open,
    ``/rejected`` resets the stream, ``/leave`` sends GOAWAY. Other paths get no
    response.
    """

    key_pair: KeyPair
    sends_retry: bool = False
    quic: QuicConnection | None = None
    http: H3Connection | None = None
    original_id: bytes = b""
    paths: dict[int, bytes] = attrs.field(factory=dict)
    resets: list[int] = attrs.field(factory=list)
    bodies: dict[int, bytes] = attrs.field(factory=dict)
    socket: socket.socket = attrs.field(factory=socket.socket)

    def __attrs_post_init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)

    @property
    def address(self) -> SocketAddress:
        return SocketAddress(host="127.0.0.1", port=self.socket.getsockname()[1])

    async def run(self) -> None:
        while True:
            timer_at = self.quic.get_timer() if self.quic else None
            with trio.move_on_at(math.inf if timer_at is None else timer_at):
                await trio.lowlevel.wait_readable(self.socket)
            if self.quic and timer_at and trio.current_time() >= timer_at:
                self.quic.handle_timer(now=trio.current_time())
            self.receive_queued()
            self.transmit()

    def receive_queued(self) -> None:
        while True:
            try:
                data, source = self.socket.recvfrom(65536)
            except BlockingIOError:
                return
            self.quic = self.quic or self.accept(data, source)
            if self.quic is not None:
                self.quic.receive_datagram(data, source, now=trio.current_time())
                self.handle_events(self.quic)

    def accept(self, data: bytes, source: tuple[str, int]) -> QuicConnection | None:
        header = pull_quic_header(Buffer(data=data), host_cid_length=8)
        if self.sends_retry and not header.token:
            self.original_id = header.destination_cid
            retry = encode_quic_retry(
                version=header.version or 1,
                source_cid=RETRY_CONNECTION_ID,
                destination_cid=header.source_cid,
                original_destination_cid=header.destination_cid,
                retry_token=b"token",
            )
            self.socket.sendto(retry, source)
            return None
        chain = load_pem_x509_certificates(self.key_pair.certificate_pem)
        quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=False,
                alpn_protocols=H3_ALPN,
                certificate=chain[0],
                private_key=load_pem_private_key(self.key_pair.private_key_pem),
            ),
            original_destination_connection_id=self.original_id
            or header.destination_cid,
            retry_source_connection_id=RETRY_CONNECTION_ID if header.token else None,
        )
        self.http = H3Connection(quic)
        return quic

    def handle_events(self, quic: QuicConnection) -> None:
        assert self.http is not None
        while (event := quic.next_event()) is not None:
            if isinstance(event, StreamReset | StopSendingReceived):
                self.resets.append(event.error_code)
            for http_event in self.http.handle_event(event):
                self.respond(quic, self.http, http_event)

    def respond(self, quic: QuicConnection, http: H3Connection, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            path = dict(event.headers)[b":path"]
            self.paths[event.stream_id] = path
            if path == b"/rejected":
                code = ErrorCode.H3_REQUEST_REJECTED
                quic.reset_stream(event.stream_id, code)
            elif path == b"/leave":
                frame = encode_frame(FrameType.GOAWAY, bytes([4]))
                quic.send_stream_data(CONTROL_STREAM_ID, frame)
                self.send(http, event.stream_id, b"leaving")
            elif path == b"/feed":
                http.send_headers(event.stream_id, [(b":status", b"200")])
                http.send_data(event.stream_id, b"tick 1\ntic", end_stream=False)
                http.send_data(event.stream_id, b"k 2\n", end_stream=False)
        elif (
            isinstance(event, DataReceived)
            and self.paths[event.stream_id] == b"/reports"
        ):
            self.bodies[event.stream_id] = (
                self.bodies.get(event.stream_id, b"") + event.data
            )
            if event.stream_ended:
                self.send(http, event.stream_id, self.bodies[event.stream_id])

    def send(self, http: H3Connection, stream_id: int, body: bytes) -> None:
        http.send_headers(stream_id, [(b":status", b"200"), (b"kind", b"echo")])
        http.send_data(stream_id, body, end_stream=True)

    def transmit(self) -> None:
        if self.quic is None:
            return
        for data, target in self.quic.datagrams_to_send(now=trio.current_time()):
            self.socket.sendto(data, target)
