"""The entries of whole buckets."""

from __future__ import annotations

import attrs

from oleanderweir.replication.messages.bucket_content import BucketContent  # noqa: TC001


@attrs.frozen(kw_only=True)
class BucketContents:
    """Replies to a request, or sends buckets that are incomplete at the receiver."""

    buckets: tuple[BucketContent, ...]
