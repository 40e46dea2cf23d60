"""The whole answer to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Mapping


NOT_RUN_HEADER = "request-not-run"


@attrs.frozen(kw_only=True)
class Response:
    """
    The whole answer to a request.

    Header names are in lower case. ``elapsed_s`` runs from the request's first byte
    to the answer's last.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    elapsed_s: float = 0.0

    @property
    def is_not_run(self) -> bool:
        """Whether the answer vouches that the request never ran."""
        return self.headers.get(NOT_RUN_HEADER) == "1"

    @property
    def text(self) -> str:
        """The body as UTF-8."""
        return self.body.decode()
