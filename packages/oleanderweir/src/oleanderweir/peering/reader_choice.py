"""
Which processes follow the backend servers at their source.

Answers the load of a large fleet: if each process watched, each change would wake and
charge one call a process. A few readers watch and pass changes on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.rendezvous import score


if TYPE_CHECKING:
    from collections.abc import Iterable


# Readers at a time; any two may be cut off or deceived by a silent connection.
READERS = 3
PURPOSE = "reader"


def is_reader(own_host: str, connected: Iterable[str]) -> bool:
    """
    Whether a process should read, given the hosts that say they do.

    A process reads unless enough others with a lower score do. So every process reads
    at its start, and steps back once it hears from readers that go before it.
    """
    own_score = score(own_host, purpose=PURPOSE)
    before = sum(score(host, purpose=PURPOSE) < own_score for host in connected)
    return before < READERS
