"""Claims on the buckets that are being fetched from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Iterable


BUCKETS_PER_REQUEST = 2
CLAIM_TIMEOUT_S = 10.0


@attrs.define(kw_only=True, eq=False)
class BucketClaims:
    """
    Prevents two sessions of a process from fetching the same bucket concurrently.

    In a booting process every bucket differs from that of every peer; the claims
    distribute the buckets over the peers. A claim expires after ``CLAIM_TIMEOUT_S``.
    """

    deadlines: dict[int, float] = attrs.field(factory=dict)

    def claim(self, buckets: Iterable[int]) -> tuple[int, ...]:
        """Claim up to ``BUCKETS_PER_REQUEST`` unclaimed buckets and return them."""
        now = trio.current_time()
        claimed: list[int] = []
        for bucket in buckets:
            if self.deadlines.get(bucket, now) > now:
                continue
            self.deadlines[bucket] = now + CLAIM_TIMEOUT_S
            claimed.append(bucket)
            if len(claimed) == BUCKETS_PER_REQUEST:
                break
        return tuple(claimed)

    def release(self, buckets: Iterable[int]) -> None:
        """Release buckets that were fetched or whose session has closed."""
        for bucket in buckets:
            self.deadlines.pop(bucket, None)
