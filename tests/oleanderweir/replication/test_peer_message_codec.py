from __future__ import annotations

import zlib

import msgpack
import pytest

from oleanderweir.replication import InvalidPeerMessageError
from oleanderweir.replication import PeerMessageCodec
from oleanderweir.replication import PeerMessageTooLargeError
from oleanderweir.replication.messages import BucketContent
from oleanderweir.replication.messages import BucketContents
from oleanderweir.replication.messages import BucketDigests
from oleanderweir.replication.messages import BucketRequest
from oleanderweir.replication.messages import EntryBatch
from oleanderweir.replication.messages import Heartbeat
from oleanderweir.replication.messages import PeerMessage
from oleanderweir.replication.peer_message_codec import MAX_DECODED_BYTES
from oleanderweir.replication.peer_message_codec import MAX_ENCODED_BYTES


MESSAGES: list[PeerMessage] = [
    Heartbeat(digest=b"d" * 16, floor=3, is_ready=True),
    BucketDigests(digests=(0, 2**64 - 1), floor=0, is_ready=False),
    BucketRequest(buckets=(1, 255)),
    BucketContents(buckets=(BucketContent(number=7, floor=2, entries=b"e"),)),
    EntryBatch(entries=b"e" * 10_000),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_encoded_message_decodes_to_itself(message: PeerMessage) -> None:
    codec = PeerMessageCodec()
    assert codec.decode(codec.encode(message)) == message


def test_unknown_fields_are_ignored() -> None:
    fields = {"buckets": [1], "later": 1}
    data = b"\x00" + msgpack.packb((3, fields))
    assert PeerMessageCodec().decode(data) == BucketRequest(buckets=(1,))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x07",
        b"\x00\xc1",
        b"\x01not zlib",
        b"\x00" + msgpack.packb((99, {})),
        b"\x00" + msgpack.packb((1, {"digest": 5})),
    ],
    ids=["empty", "prefix", "msgpack", "zlib", "type number", "fields"],
)
def test_malformed_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(InvalidPeerMessageError):
        PeerMessageCodec().decode(data)


@pytest.mark.parametrize(
    "data",
    [b"\x00" * (MAX_ENCODED_BYTES + 1), b"\x01" + zlib.compress(b"0" * 2**22)],
    ids=["encoded", "decompressed"],
)
def test_oversized_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(PeerMessageTooLargeError):
        PeerMessageCodec().decode(data)


def test_oversized_message_is_not_encoded() -> None:
    with pytest.raises(PeerMessageTooLargeError):
        PeerMessageCodec().encode(EntryBatch(entries=b"e" * MAX_DECODED_BYTES))
