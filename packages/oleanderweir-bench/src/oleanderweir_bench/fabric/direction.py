"""The direction of a packet."""

from __future__ import annotations

from enum import Enum


class Direction(Enum):
    """The direction of a packet through the fabric."""

    TO_BALANCER = "to_balancer"
    TO_CALLER = "to_caller"
