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
    Encodes messages as msgpack, with zlib compression for large ones.

    Unknown fields are ignored, so that instances of two versions can communicate.
    Sizes are limited before and after decompression.
    """

    def __init__(self) -> None:
        self.converter = cattrs.Converter()
        self.type_numbers = {
            message_type: number for number, message_type in enumerate(MESSAGE_TYPES)
        }

    def encode(self, message: PeerMessage) -> bytes:
        """
        Return the encoded message.

        Raise ``PeerMessageTooLargeError`` if it exceeds ``MAX_DECODED_BYTES`` before
        compression.
        """
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
        """
        Return the decoded message.

        Raise ``InvalidPeerMessageError`` for malformed bytes and
        ``PeerMessageTooLargeError`` for bytes over a size limit.
        """
        if len(data) > MAX_ENCODED_BYTES:
            raise PeerMessageTooLargeError(
                f"peer message has {len(data)} bytes, the limit is "
                f"{MAX_ENCODED_BYTES}; run one version on all instances"
            )
        body = _decompress(data)
        try:
            number, fields = msgpack.unpackb(body)
            message_type = MESSAGE_TYPES[number]
            message: PeerMessage = self.converter.structure(fields, message_type)
        except Exception as error:
            # msgpack and cattrs raise many types of exceptions for malformed input.
            raise InvalidPeerMessageError(
                "cannot decode a peer message; run one version on all instances"
            ) from error
        return message


def _decompress(data: bytes) -> bytes:
    """Return the body of a message, decompressed up to ``MAX_DECODED_BYTES``."""
    prefix = data[:1]
    if prefix == PLAIN:
        return data[1:]
    if prefix != COMPRESSED:
        raise InvalidPeerMessageError(
            f"peer message starts with {prefix!r}, expected {PLAIN!r} or {COMPRESSED!r}"
        )
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data[1:], MAX_DECODED_BYTES)
    except zlib.error as error:
        raise InvalidPeerMessageError(
            f"cannot decompress a peer message ({error})"
        ) from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise PeerMessageTooLargeError(
            f"peer message is truncated or decompresses to over {MAX_DECODED_BYTES} "
            "bytes"
        )
    return body
