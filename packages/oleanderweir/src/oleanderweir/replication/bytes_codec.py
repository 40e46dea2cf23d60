"""A gRPC codec for messages that are already encoded."""

from __future__ import annotations

from grpclib.encoding.base import CodecBase

from oleanderweir.replication.exceptions import PeerMessageTooLargeError
from oleanderweir.replication.peer_message_codec import MAX_ENCODED_BYTES


class BytesCodec(CodecBase):
    """Passes bytes through unchanged, up to ``MAX_ENCODED_BYTES``."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type[bytes]) -> bytes:
        """Return the message unchanged."""
        del message_type
        return message

    def decode(self, data: bytes, message_type: type[bytes]) -> bytes:
        """Return the message; raise ``PeerMessageTooLargeError`` if it is too long."""
        del message_type
        if len(data) > MAX_ENCODED_BYTES:
            raise PeerMessageTooLargeError(
                f"peer message has {len(data)} bytes, the limit is "
                f"{MAX_ENCODED_BYTES}; run one version on all instances"
            )
        return data
