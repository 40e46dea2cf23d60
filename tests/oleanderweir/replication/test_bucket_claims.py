from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.replication.bucket_claims import BUCKETS_PER_REQUEST
from oleanderweir.replication.bucket_claims import CLAIM_TIMEOUT_S
from oleanderweir.replication.bucket_claims import BucketClaims


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_bucket_is_claimed_once_until_released_or_expired(
    autojump_clock: MockClock,
) -> None:
    claims = BucketClaims()
    assert claims.claim([1, 2]) == (1, 2)
    assert claims.claim([2, 3]) == (3,)
    claims.release([2])
    assert claims.claim([1, 2]) == (2,)
    await trio.sleep(CLAIM_TIMEOUT_S)
    assert claims.claim([1]) == (1,)


async def test_claim_is_limited_to_one_request(autojump_clock: MockClock) -> None:
    assert len(BucketClaims().claim(range(256))) == BUCKETS_PER_REQUEST
