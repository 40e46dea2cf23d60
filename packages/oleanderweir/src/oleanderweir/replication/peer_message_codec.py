"""Encoding of messages between peers."""

from __future__ import annotations

import zlib

import cattrs
import msgpack

from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.exceptions import PeerMessageTooLargeError
from oleanderweir.replication.messages import BucketContents
from oleanderweir.replication.messages import BucketDigests
from oleanderweir.replication.messages import BucketRequest
from oleanderweir.replication.messages import EntryBatch
from oleanderweir.replication.messages import Heartbeat
from oleanderweir.replication.messages import Hello
from oleanderweir.replication.messages import PeerMessage


MAX_ENCODED_BYTES = 256 * 1024
MAX_DECODED_BYTES = 1024 * 1024
COMPRESSION_THRESHOLD_BYTES = 256
COMPRESSION_LEVEL = 6
PLAIN = b"\x00"
COMPRESSED = b"\x01"
MESSAGE_TYPES: tuple[type[PeerMessage], ...] = (
    Hello,
    Heartbeat,
    BucketDigests,
    BucketRequest,
    BucketContents,
    EntryBatch,
)


class PeerMessageCodec:
    """
    Writes messages as msgpack, compressed where that pays.

    Unknown fields are passed over, so that instances of two versions understand each
    other. Sizes are bounded before and after decompression.
    """

    def __init__(self) -> None:
        self.converter = cattrs.Converter()
        self.type_numbers = {
            message_type: number for number, message_type in enumerate(MESSAGE_TYPES)
        }

    def encode(self, message: PeerMessage) -> bytes:
        """Return the bytes of a message; raise ``PeerMessageTooLargeError``."""
        message_type = type(message)
        fields = self.converter.unstructure(message)
        body: bytes = msgpack.packb((self.type_numbers[message_type], fields))
        if len(body) > MAX_DECODED_BYTES:
            raise PeerMessageTooLargeError(
                f"{message_type.__name__} message has {len(body)} bytes, the limit is "
                f"{MAX_DECODED_BYTES}; send fewer entries per message"
            )
        if len(body) < COMPRESSION_THRESHOLD_BYTES:
            return PLAIN + body
        return COMPRESSED + zlib.compress(body, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> PeerMessage:
        """Read a message; raise ``InvalidPeerMessageError`` or ``...TooLargeError``."""
        if len(data) > MAX_ENCODED_BYTES:
            raise PeerMessageTooLargeError(
                f"a peer sent {len(data)} bytes, over {MAX_ENCODED_BYTES}; "
                "run one version on all instances"
            )
        body = _decompress(data)
        try:
            number, fields = msgpack.unpackb(body)
            message_type = MESSAGE_TYPES[number]
            message: PeerMessage = self.converter.structure(fields, message_type)
        except Exception as error:
            # The converter raises what the fields provoke; all mean one thing here.
            raise InvalidPeerMessageError(
                "a peer sent bytes that are no message; run one version on all "
                "instances"
            ) from error
        return message


def _decompress(data: bytes) -> bytes:
    """Return the body of a message; bound what compressed bytes may unfold to."""
    prefix = data[:1]
    if prefix == PLAIN:
        return data[1:]
    if prefix != COMPRESSED:
        raise InvalidPeerMessageError("a message has an unknown form")
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data[1:], MAX_DECODED_BYTES)
    except zlib.error as error:
        raise InvalidPeerMessageError("a message can't be decompressed") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise PeerMessageTooLargeError(
            f"a message unfolds to more than {MAX_DECODED_BYTES} bytes or is cut off"
        )
    return body
