"""The gRPC codec of messages that are encoded already."""

from __future__ import annotations

from grpclib.encoding.base import CodecBase

from oleanderweir.replication.exceptions import PeerMessageTooLargeError
from oleanderweir.replication.peer_message_codec import MAX_ENCODED_BYTES


class BytesCodec(CodecBase):
    """Passes bytes through, up to ``MAX_ENCODED_BYTES``."""

    __content_subtype__ = "msgpack"

    def encode(self, message: bytes, message_type: type[bytes]) -> bytes:
        """Return the message as it is."""
        del message_type
        return message

    def decode(self, data: bytes, message_type: type[bytes]) -> bytes:
        """Return the message; raise ``PeerMessageTooLargeError``."""
        del message_type
        if len(data) > MAX_ENCODED_BYTES:
            raise PeerMessageTooLargeError(
                f"a peer sent {len(data)} bytes, over {MAX_ENCODED_BYTES}; "
                "run one version on all instances"
            )
        return data
