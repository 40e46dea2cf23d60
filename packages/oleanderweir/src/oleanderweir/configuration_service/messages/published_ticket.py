"""A ticket as it was published."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PublishedTicket:
    """
    The number under which a ticket was published, and its unchanged JSON text.

    Only the processes check the text, not the service, so that all of them reach the
    same result.
    """

    number: int
    text: str
