"""A request that is offered to a peer."""

from __future__ import annotations

import attrs

from oleanderweir_agent.requests.header import Header  # noqa: TC001


@attrs.frozen(kw_only=True)
class Offer:
    """
    A request without its body, of which ``body_bytes`` follow in parts.

    ``timeout_s`` is what is left of the deadline, None for a feed: instances share
    no clock. A request that would wait longer than ``max_wait_s`` is to be refused;
    None sets no bound. ``service`` guards against an address that changed hands.
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
