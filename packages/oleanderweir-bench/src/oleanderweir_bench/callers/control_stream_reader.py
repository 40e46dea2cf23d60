"""Reads GOAWAY frames from the HTTP/3 control stream of the server."""

from __future__ import annotations

import attrs
from aioquic.buffer import Buffer
from aioquic.buffer import BufferReadError
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import StreamType


MAX_BUFFERED_BYTES = 65536
SERVER_UNIDIRECTIONAL_STREAM = 3


@attrs.define(kw_only=True)
class ControlStreamReader:
    """
    Parses GOAWAY frames, which aioquic ignores.

    ``goaway_stream_id`` is the identifier in the last GOAWAY frame: the server does not
    run requests on that stream or on later ones.
    """

    goaway_stream_id: int | None = None
    control_stream_id: int | None = None
    buffer: bytes = b""
    other_streams: set[int] = attrs.field(factory=set)

    def receive(self, stream_id: int, data: bytes) -> None:
        """Process the next bytes of a stream; ignore all but the control stream."""
        if (
            stream_id % 4 != SERVER_UNIDIRECTIONAL_STREAM
            or stream_id in self.other_streams
        ):
            return
        if self.control_stream_id is None and not self.detect_control_stream(
            stream_id, data
        ):
            return
        if stream_id != self.control_stream_id:
            return
        self.buffer = (self.buffer + data)[:MAX_BUFFERED_BYTES]
        self.parse_frames()

    def detect_control_stream(self, stream_id: int, data: bytes) -> bool:
        """Classify a new stream; return whether it is the control stream."""
        if data[:1] != bytes([StreamType.CONTROL]):
            self.other_streams.add(stream_id)
            return False
        self.control_stream_id = stream_id
        self.buffer = b""
        return True

    def parse_frames(self) -> None:
        """Parse the complete frames in the buffer; skip the one-byte stream type."""
        while True:
            buffer = Buffer(data=self.buffer)
            try:
                frame_type = buffer.pull_uint_var()
                if frame_type == StreamType.CONTROL:
                    self.buffer = self.buffer[buffer.tell() :]
                    continue
                payload = buffer.pull_bytes(buffer.pull_uint_var())
            except BufferReadError:
                return
            self.buffer = self.buffer[buffer.tell() :]
            if frame_type == FrameType.GOAWAY:
                self.goaway_stream_id = Buffer(data=payload).pull_uint_var()
