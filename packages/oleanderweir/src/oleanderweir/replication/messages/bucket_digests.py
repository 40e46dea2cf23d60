"""The reply to a heartbeat whose digest differs."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BucketDigests:
    """
    Carries the digest of each bucket of the register, by bucket number.

    ``floor`` and ``is_ready`` are those of ``Heartbeat``.
    """

    digests: tuple[int, ...]
    floor: int
    is_ready: bool
