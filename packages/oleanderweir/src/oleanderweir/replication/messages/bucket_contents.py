"""The entries of whole buckets."""

from __future__ import annotations

import attrs

from oleanderweir.replication.messages.bucket_content import BucketContent  # noqa: TC001


@attrs.frozen(kw_only=True)
class BucketContents:
    """Answers a request, or offers what the other side lacks."""

    buckets: tuple[BucketContent, ...]
