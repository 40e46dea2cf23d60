"""One ticket as it was published."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PublishedTicket:
    """
    The number under which a ticket was published, and its unchanged JSON text.

    The text is checked by the processes alone, so that all give the same verdict.
    """

    number: int
    text: str
