"""A caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.requests.header import Header


@attrs.frozen(kw_only=True)
class Request:
    """
    A complete request, as sent to a backend server.

    ``arrived_at`` and ``deadline`` are trio times in seconds. ``request_id``
    identifies the request in logs and in the ledgers of backend servers.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    deadline: float
    is_feed: bool = False
