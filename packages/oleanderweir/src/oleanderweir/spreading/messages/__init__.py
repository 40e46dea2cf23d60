"""The messages of a session between two peers."""

from __future__ import annotations

from oleanderweir.spreading.messages.bucket_content import BucketContent
from oleanderweir.spreading.messages.bucket_contents import BucketContents
from oleanderweir.spreading.messages.bucket_digests import BucketDigests
from oleanderweir.spreading.messages.bucket_request import BucketRequest
from oleanderweir.spreading.messages.entry_batch import EntryBatch
from oleanderweir.spreading.messages.heartbeat import Heartbeat
from oleanderweir.spreading.messages.hello import Hello


PeerMessage = (
    Hello | Heartbeat | BucketDigests | BucketRequest | BucketContents | EntryBatch
)


__all__ = [
    "BucketContent",
    "BucketContents",
    "BucketDigests",
    "BucketRequest",
    "EntryBatch",
    "Heartbeat",
    "Hello",
    "PeerMessage",
]
