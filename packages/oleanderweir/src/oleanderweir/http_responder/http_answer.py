"""An answer to an HTTP request."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HttpAnswer:
    """A status with a body."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
