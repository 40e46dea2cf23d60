"""The status and header fields of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.requests.header import first_value


if TYPE_CHECKING:
    from oleanderweir_agent.requests.header import Header


@attrs.frozen(kw_only=True)
class ResponseHead:
    """The status and the header fields of a response."""

    status: int
    headers: tuple[Header, ...]

    def first(self, name: bytes) -> bytes | None:
        """Return the value of the first header field called ``name``, or None."""
        return first_value(self.headers, name)
