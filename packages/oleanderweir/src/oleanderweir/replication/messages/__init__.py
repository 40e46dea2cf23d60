"""The messages of a session between two peers."""

from __future__ import annotations

from oleanderweir.replication.messages.bucket_content import BucketContent
from oleanderweir.replication.messages.bucket_contents import BucketContents
from oleanderweir.replication.messages.bucket_digests import BucketDigests
from oleanderweir.replication.messages.bucket_request import BucketRequest
from oleanderweir.replication.messages.entry_batch import EntryBatch
from oleanderweir.replication.messages.heartbeat import Heartbeat
from oleanderweir.replication.messages.hello import Hello


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
