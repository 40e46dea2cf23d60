"""A caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.requests.header import Header


@attrs.frozen(kw_only=True)
class Request:
    """
    A whole request, as it goes to a backend server.

    ``arrived_at`` and ``deadline`` are in trio's time; ``request_id`` names the
    request in ledgers and logs.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    deadline: float
    is_feed: bool = False
