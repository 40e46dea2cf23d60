"""One field of a request or response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen(kw_only=True)
class Header:
    """A header field; the name is in lower case."""

    name: bytes
    value: bytes


def first_value(headers: Sequence[Header], name: bytes) -> bytes | None:
    """Return the value of the first field of that name."""
    for header in headers:
        if header.name == name:
            return header.value
    return None
