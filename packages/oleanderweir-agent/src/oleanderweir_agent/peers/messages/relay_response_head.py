"""The first message of a response from a peer."""

from __future__ import annotations

import attrs

from oleanderweir_agent.requests.header import Header  # noqa: TC001


@attrs.frozen(kw_only=True)
class RelayResponseHead:
    """The status and header fields of a response."""

    status: int
    headers: tuple[Header, ...]
