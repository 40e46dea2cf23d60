"""One field of a request or response."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Header:
    """A header field; the name is in lower case."""

    name: bytes
    value: bytes
