"""Rankings and hash rings that every process derives equally from names."""

from __future__ import annotations

import functools
import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


SCORE_LENGTH_BYTES = 8
SCORE_CACHE_ENTRIES = 32_768


@functools.lru_cache(maxsize=SCORE_CACHE_ENTRIES)
def score(name: str, *, purpose: str) -> bytes:
    """Return the hash of a name for a purpose; it is equal in all processes."""
    data = f"{purpose}\0{name}".encode()
    return blake2b(data, digest_size=SCORE_LENGTH_BYTES).digest()


def first_ranked(names: Iterable[str], *, purpose: str, count: int) -> list[str]:
    """
    Return the first ``count`` names in rendezvous order for a purpose.

    Adding or removing a name does not change the relative order of the others.
    """
    return heapq.nsmallest(count, names, key=lambda name: score(name, purpose=purpose))


def ring_successor(name: str, names: Iterable[str], *, purpose: str) -> str | None:
    """
    Return the name that follows ``name`` on the hash ring of a purpose.

    ``name`` need not be in ``names``. Return ``None`` when there is no other name.
    """
    own_score = score(name, purpose=purpose)
    next_after: tuple[bytes, str] | None = None
    lowest: tuple[bytes, str] | None = None
    for other in names:
        if other == name:
            continue
        candidate = (score(other, purpose=purpose), other)
        if lowest is None or candidate < lowest:
            lowest = candidate
        if candidate[0] > own_score and (next_after is None or candidate < next_after):
            next_after = candidate
    chosen = next_after or lowest
    return None if chosen is None else chosen[1]


def ring_successors(
    name: str, names: Iterable[str], *, purpose: str, ring_count: int
) -> tuple[str, ...]:
    """
    Return the successors of ``name`` on ``ring_count`` independent rings.

    The successors are distinct: a name chosen on one ring is skipped on the next ones.
    """
    remaining = set(names)
    remaining.discard(name)
    successors: list[str] = []
    for ring in range(ring_count):
        successor = ring_successor(name, remaining, purpose=f"{purpose}/{ring}")
        if successor is None:
            break
        successors.append(successor)
        remaining.discard(successor)
    return tuple(successors)
