"""A complete HTTP response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Mapping


NOT_RUN_HEADER = "request-not-run"


@attrs.frozen(kw_only=True)
class Response:
    """
    A complete HTTP response.

    Header names are in lower case. ``elapsed_s`` is the time from the first byte of the
    request to the last byte of the response.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    elapsed_s: float = 0.0

    @property
    def is_not_run(self) -> bool:
        """Whether the response confirms that the request was not run."""
        return self.headers.get(NOT_RUN_HEADER) == "1"

    @property
    def text(self) -> str:
        """The body, decoded as UTF-8."""
        return self.body.decode()
