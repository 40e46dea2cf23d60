"""A request for the entries of some buckets."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BucketRequest:
    """Names the buckets whose entries the sender lacks or holds in another state."""

    buckets: tuple[int, ...]
