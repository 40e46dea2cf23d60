"""
The candidate hosts of a flow, by rendezvous hashing; the same in every process.

They bound the load after a failure of all processes, when the owner of each open flow
has to be looked up. New flows are placed on one of the first few hosts of their
ranking, so a lookup queries these instead of the whole fleet, and its cost doesn't grow
with the number of backend servers.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.flows.flow_key import FlowKey


# Hosts among which the placement of a new flow chooses.
PLACEMENT_CANDIDATES = 6
# Hosts that a lookup queries first: more than a placement considers, because hosts that
# joined after it may rank before the owner.
LOOKUP_CANDIDATES = 12
SCORE_BYTES = 8


def candidate_hosts(key: FlowKey, hosts: Iterable[str], *, count: int) -> list[str]:
    """Return the first ``count`` hosts in the rendezvous ranking of a flow."""

    def score(host: str) -> bytes:
        return blake2b(host.encode(), digest_size=SCORE_BYTES, key=key).digest()

    return heapq.nsmallest(count, hosts, key=score)
