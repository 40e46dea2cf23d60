"""Which buckets are being fetched from which peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Iterable


BUCKETS_PER_REQUEST = 2
REQUEST_TIMEOUT_S = 10.0


@attrs.define(kw_only=True, eq=False)
class BucketClaims:
    """
    Keeps the sessions of a process from fetching one bucket twice at a time.

    A process that boots finds every bucket differing at every peer; this plan
    divides the buckets among the peers.
    """

    deadlines: dict[int, float] = attrs.field(factory=dict)

    def claim(self, buckets: Iterable[int]) -> tuple[int, ...]:
        """Reserve some of the buckets for one request; return them."""
        now = trio.current_time()
        claimed: list[int] = []
        for bucket in buckets:
            if self.deadlines.get(bucket, now) > now:
                continue
            self.deadlines[bucket] = now + REQUEST_TIMEOUT_S
            claimed.append(bucket)
            if len(claimed) == BUCKETS_PER_REQUEST:
                break
        return tuple(claimed)

    def release(self, buckets: Iterable[int]) -> None:
        """Give back buckets that were fetched, or whose peer is gone."""
        for bucket in buckets:
            self.deadlines.pop(bucket, None)
