"""The offer of a request to a peer."""

from __future__ import annotations

import attrs

from oleanderweir_agent.requests.header import Header  # noqa: TC001


@attrs.frozen(kw_only=True)
class Offer:
    """
    A request without its body, which follows as ``body_bytes`` bytes in parts.

    ``timeout_s`` is the time until the deadline, because instances do not share a
    clock; None for a feed. The peer rejects a request that would wait longer than
    ``max_wait_s``; None sets no limit. ``service`` lets a peer reject the offer if its
    address now belongs to another service.
    """

    service: str
    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body_bytes: int
    timeout_s: float | None
    max_wait_s: float | None
    is_feed: bool
