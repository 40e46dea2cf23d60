"""The start of an answer from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.requests.header import Header


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and header fields of an answer."""

    status: int
    headers: tuple[Header, ...]
