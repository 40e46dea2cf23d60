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
        self.numbers = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}

    def encode(self, message: PeerMessage) -> bytes:
        """Return the bytes of a message; raise ``PeerMessageTooLargeError``."""
        kind = type(message)
        fields = self.converter.unstructure(message)
        body: bytes = msgpack.packb((self.numbers[kind], fields))
        if len(body) > MAX_DECODED_BYTES:
            raise PeerMessageTooLargeError(
                f"a {kind.__name__} of {len(body)} bytes exceeds {MAX_DECODED_BYTES}; "
                "send fewer entries at once"
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
            kind = MESSAGE_TYPES[number]
            message: PeerMessage = self.converter.structure(fields, kind)
        except Exception as error:
            # The converter raises what the fields provoke; all mean one thing here.
            raise InvalidPeerMessageError(
                "a peer sent bytes that are no message; run one version on all "
                "instances"
            ) from error
        return message


def _decompress(data: bytes) -> bytes:
    """Return the body of a message; bound what compressed bytes may unfold to."""
    form = data[:1]
    if form == PLAIN:
        return data[1:]
    if form != COMPRESSED:
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
