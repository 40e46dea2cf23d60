"""The periodic message that shows a peer alive and compares registers."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """
    Carries the digest of the whole register.

    ``floor`` is the ticket below which tombstones have been collected. ``is_ready``
    tells whether the sender has booted.
    """

    digest: bytes
    floor: int
    is_ready: bool
