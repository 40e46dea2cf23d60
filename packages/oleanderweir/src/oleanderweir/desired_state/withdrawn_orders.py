"""What a process tells its peers about withdrawn evacuation orders."""

from __future__ import annotations

import attrs


NO_WRITE = 0


@attrs.frozen(kw_only=True)
class WithdrawnOrder:
    """
    A write of the order for ``zone`` that was withdrawn later.

    ``revision`` is that of the write without its history, as a restored copy of the
    source has it, or ``NO_WRITE`` for the newest position at which the source had no
    order for the zone. ``withdrawn_at`` is the position of the withdrawal.
    """

    zone: str
    revision: int
    withdrawn_at: int


@attrs.frozen(kw_only=True)
class WithdrawnOrders:
    """
    The withdrawn orders that a process knows, at most ``MAX_WITHDRAWN_ORDERS``.

    ``first_listings`` has the position of the first known listing of each history:
    what was written after it can't be part of a restored copy.
    """

    first_listings: tuple[int, ...] = ()
    orders: tuple[WithdrawnOrder, ...] = ()
