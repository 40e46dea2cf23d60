"""The header section of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


def make_request_fields(
    *, method: str, path: str, authority: str, headers: Mapping[str, str]
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a request, pseudo-header fields first."""
    fields = {
        ":method": method,
        ":scheme": "https",
        ":authority": authority,
        ":path": path,
    }
    fields |= {name.lower(): value for name, value in headers.items()}
    return [(name.encode(), value.encode()) for name, value in fields.items()]
