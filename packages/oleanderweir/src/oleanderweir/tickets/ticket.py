"""A numbered configuration change by operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.tickets.entry import Entry


@attrs.frozen(kw_only=True)
class Ticket:
    """
    A numbered change with the complete new state of every key that it changes.

    Every entry has the number of the ticket. ``comment`` is for human readers only.
    """

    number: int
    entries: tuple[Entry, ...]
    comment: str = ""
