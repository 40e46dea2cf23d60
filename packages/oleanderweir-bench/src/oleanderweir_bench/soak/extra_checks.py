"""Checks of the guarantees on evacuations, cold starts and hedges."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.soak.stall_watch import StallWatch


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.flows import FlowKey
    from oleanderweir_bench.processes.output_line import OutputLine
    from oleanderweir_bench.soak.soak_extras import SoakExtras


# In the log of a process, an opening packet that was returned, or a flow that was
# reset, because of an evacuation.
REFUSAL_REASONS = frozenset({"EVACUATED", "zones_evacuated"})
# Limits of a second hold for what arrives in it if this process reads it in time.
MIN_READ_DELAY_S = 0.2
WINDOW_S = 1.0
# Hedges that each balancer may have saved up.
SAVED_HEDGES = 5


class ColdStartCheck:
    """
    Counts the new flows of cold backend servers beyond the limit, by host.

    Times are in seconds of trio's clock.
    """

    def __init__(self, *, extras: SoakExtras) -> None:
        self.extras = extras
        self.began_at: dict[str, float] = {}
        self.openings: dict[str, deque[float]] = {}
        self.read_delays = StallWatch(min_stall_s=MIN_READ_DELAY_S)

    def begin(self, host: str) -> None:
        """Record that a cold start begins."""
        self.began_at[host] = trio.current_time()
        self.openings[host] = deque()

    def is_exceeded(self, host: str) -> bool:
        """Record a new flow; return whether the limit of a cold start is exceeded."""
        limit, began_at = self.extras.cold_start_limit, self.began_at.get(host)
        now = trio.current_time()
        if limit is None or began_at is None or now >= began_at + limit.duration_s:
            return False
        recent = self.openings[host]
        recent.append(now)
        while recent[0] <= now - WINDOW_S:
            recent.popleft()
        if self.read_delays.stalled_since(now - WINDOW_S) > 0:
            return False
        return len(recent) > self.extras.max_cold_openings


class HedgeCheck:
    """Counts the opening packets that reached more than one backend server."""

    def __init__(self, *, max_share: float, balancers: int) -> None:
        self.max_share = max_share
        self.balancers = balancers
        # The backend servers of each new flow.
        self.hosts: dict[FlowKey, set[str]] = {}
        self.checked_from = 0

    def add(self, key: FlowKey, host: str) -> None:
        """Record an opening packet that reached a backend server."""
        self.hosts.setdefault(key, set()).add(host)

    def start(self) -> None:
        """Check the flows that are opened from now on."""
        self.checked_from = len(self.hosts)

    def count_excess(self) -> int:
        """Return how many of them exceed the share that may be hedged."""
        if not self.max_share:
            return 0
        flows = list(self.hosts.values())[self.checked_from :]
        hedges = sum(len(hosts) - 1 for hosts in flows)
        limit = self.max_share * len(flows) + SAVED_HEDGES * self.balancers
        return max(0, round(hedges - limit))


def count_refusals(lines: Iterable[OutputLine]) -> int:
    """Return how many log lines tell of a refusal because of an evacuation."""
    return sum(line.fields.get("reason") in REFUSAL_REASONS for line in lines)
