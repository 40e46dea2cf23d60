"""The start of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.requests.header import Header


@attrs.frozen(kw_only=True)
class ResponseHead:
    """The status and the header fields of a response."""

    status: int
    headers: tuple[Header, ...]
