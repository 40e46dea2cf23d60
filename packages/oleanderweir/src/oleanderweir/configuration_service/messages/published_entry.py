"""One entry of a published snapshot."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class PublishedEntry:
    """
    A key in its text form, the ticket that set it, and the fields of its value.

    The fields are the same as in a ticket; ``value`` is ``None`` for a removed key.
    """

    key: str
    ticket: int
    value: dict[str, Any] | None
