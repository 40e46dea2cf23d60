"""A numbered decision of the operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.tickets.entry import Entry


@attrs.frozen(kw_only=True)
class Ticket:
    """
    A numbered decision with the whole new state of everything that it touches.

    Every entry carries the number of the ticket. ``comment`` is for its readers.
    """

    number: int
    entries: tuple[Entry, ...]
    comment: str = ""
