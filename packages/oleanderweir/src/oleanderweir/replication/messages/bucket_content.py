"""The entries of one bucket."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BucketContent:
    """Carries all entries of one bucket, encoded, with the floor of the bucket."""

    number: int
    floor: int
    entries: bytes
