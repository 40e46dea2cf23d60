"""The start of an answer from a peer."""

from __future__ import annotations

import attrs

from oleanderweir_agent.requests.header import Header  # noqa: TC001


@attrs.frozen(kw_only=True)
class RelayResponseHead:
    """Status and header fields of an answer."""

    status: int
    headers: tuple[Header, ...]
