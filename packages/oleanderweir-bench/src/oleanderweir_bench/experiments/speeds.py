"""Speeds of backend servers of different hardware generations."""

from __future__ import annotations


LOWEST_SPEED = 0.5
HIGHEST_SPEED = 2.0


def geometric_speeds(server_count: int) -> list[float]:
    """Return speeds in geometric progression from the lowest to the highest."""
    ratio = HIGHEST_SPEED / LOWEST_SPEED
    return [
        LOWEST_SPEED * ratio ** (index / (server_count - 1))
        for index in range(server_count)
    ]
