"""The periodic message that detects failed peers and compares registers."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """
    Carries the digest of the whole register.

    Tombstones of tickets below ``floor`` have been collected. ``is_ready`` is true
    once the sender has booted.
    """

    digest: bytes
    floor: int
    is_ready: bool
