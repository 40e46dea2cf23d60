"""The answer to a heartbeat whose digest differs."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BucketDigests:
    """Carries one digest for each bucket of the register, in order."""

    digests: tuple[int, ...]
    floor: int
    is_ready: bool
