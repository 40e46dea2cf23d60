"""Which hosts unplanned faults have disturbed of late."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import Iterator


# A host counts as disturbed for this long after its last fault.
STABLE_S = 4.0


class FaultRecord:
    """
    Records the unplanned faults of each host.

    A guarantee holds for a flow while its backend server has not been disturbed, and
    for those processes that have not been either.
    """

    def __init__(self) -> None:
        self.active: Counter[str] = Counter()
        self.ended_at: dict[str, float] = {}

    @contextmanager
    def fault(self, *hosts: str) -> Iterator[None]:
        """Record that hosts are disturbed within the block."""
        self.active.update(hosts)
        try:
            yield
        finally:
            self.active.subtract(hosts)
            self.ended_at.update(dict.fromkeys(hosts, trio.current_time()))

    def is_undisturbed(self, host: str) -> bool:
        """Whether a host has had no fault for ``STABLE_S``."""
        if self.active[host] > 0:
            return False
        ended_at = self.ended_at.get(host, float("-inf"))
        return trio.current_time() - ended_at >= STABLE_S
