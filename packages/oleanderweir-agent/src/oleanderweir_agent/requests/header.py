"""A header field of a request or response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen(kw_only=True)
class Header:
    """A header field; its name is in lower case."""

    name: bytes
    value: bytes


def first_value(headers: Sequence[Header], name: bytes) -> bytes | None:
    """Return the value of the first field called ``name``, or None."""
    for header in headers:
        if header.name == name:
            return header.value
    return None
