"""Sequence numbers, by which the packets of two flows of one port differ."""

from __future__ import annotations


# Sequence numbers of packets have 32 bits and wrap around.
SEQUENCE_MODULUS = 2**32
# Acknowledgements of one flow that are in flight at the same time differ by less.
MAX_ACKNOWLEDGED_DISTANCE = 76_800


def are_far(first: int, second: int) -> bool:
    """Whether two sequence numbers can't be of the same flow."""
    ahead = (first - second) % SEQUENCE_MODULUS
    return min(ahead, SEQUENCE_MODULUS - ahead) > MAX_ACKNOWLEDGED_DISTANCE
