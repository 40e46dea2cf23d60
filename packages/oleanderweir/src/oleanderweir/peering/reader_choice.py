"""
The choice of the processes that watch the backend servers at their source.

If every process of a large fleet watched, each change would cost the source one call
per process. Instead, a few readers watch and send the changes to the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.rendezvous import score


if TYPE_CHECKING:
    from collections.abc import Iterable


# Readers at a time. Changes still arrive while two of them are cut off, or have a
# connection to the source that is dead without an error.
READER_COUNT = 3
PURPOSE = "reader"


def is_reader(own_host: str, readers: Iterable[str]) -> bool:
    """
    Whether a process should read, given the hosts that announce that they do.

    A process reads unless ``READER_COUNT`` others with a lower score do. Without known
    readers it therefore reads, and stops once enough hosts with a lower score announce
    that they read.
    """
    own_score = score(own_host, purpose=PURPOSE)
    lower = sum(score(host, purpose=PURPOSE) < own_score for host in readers)
    return lower < READER_COUNT
