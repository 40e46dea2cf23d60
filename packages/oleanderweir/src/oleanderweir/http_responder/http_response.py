"""The response to an HTTP request."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HttpResponse:
    """A status code with a body and its type."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
