"""One entry of a published snapshot."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class PublishedEntry:
    """
    A key in its text form, the ticket that set it, and the fields of the value.

    The fields are those of a ticket; ``value`` is ``None`` for a removed key.
    """

    key: str
    ticket: int
    value: dict[str, Any] | None
