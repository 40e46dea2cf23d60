"""A request for the entries of some buckets."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BucketRequest:
    """Requests the buckets whose content differs at the sender."""

    buckets: tuple[int, ...]
