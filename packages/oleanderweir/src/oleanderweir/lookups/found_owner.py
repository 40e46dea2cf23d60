"""An owner that was found while other backend servers were being asked."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class FoundOwner:
    """
    The owner of a flow, and the agents that have not denied yet.

    The backend servers of ``outstanding`` agents were asked with ``query`` too, and may
    get it after the owner's. ``found_at`` is in seconds of trio's clock.
    """

    host: str
    query: Packet
    outstanding: set[str]
    found_at: float
