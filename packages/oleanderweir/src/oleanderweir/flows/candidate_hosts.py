"""
The hosts that one flow may be placed at, the same in every process.

Answers the load after a loss of all processes: nobody remembers where the open flows
are, and each has to be asked for. Since new flows are placed at one of the first few
hosts of their ranking, a search asks those and not the whole fleet, so its cost
doesn't grow with the number of backend servers.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.flows.flow_key import FlowKey


# Hosts that the choice for a new flow compares.
PLACEMENT_CANDIDATES = 6
# Hosts that a search asks first: hosts that joined since the flow was placed may stand
# before its own.
LOOKUP_CANDIDATES = 12
SCORE_BYTES = 8


def candidate_hosts(key: FlowKey, hosts: Iterable[str], *, count: int) -> list[str]:
    """Return the first ``count`` hosts in the rendezvous order of a flow."""

    def score(host: str) -> bytes:
        return blake2b(host.encode(), digest_size=SCORE_BYTES, key=key).digest()

    return heapq.nsmallest(count, hosts, key=score)
