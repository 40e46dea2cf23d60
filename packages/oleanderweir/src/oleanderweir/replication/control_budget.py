"""The rate limit of control traffic in bytes per second."""

from __future__ import annotations

import attrs
import trio

from oleanderweir.replication.metrics import BUDGET_DELAY_SECONDS
from oleanderweir.replication.metrics import CONTROL_BYTES
from oleanderweir.replication.metrics import CONTROL_DELAYS


RATE_BYTES_PER_S = 2048.0
CAPACITY_BYTES = 2048.0 * 300
REPAIR_RESERVE_BYTES = CAPACITY_BYTES / 4


@attrs.define(kw_only=True, eq=False)
class ControlBudget:
    """
    A token bucket for the control traffic that a process sends and receives.

    With the defaults, the average over any window of 300 s is at most 4,096 bytes per
    second: a full bucket of 614,400 bytes plus 2,048 bytes per second. Received bytes
    count too and may overdraw the bucket; sending then waits until it has refilled.
    Messages are delayed but never dropped. Whole buckets are sent only while more than
    ``repair_reserve_bytes`` are left; the reserve is for all other messages.
    """

    rate_bytes_per_s: float = RATE_BYTES_PER_S
    capacity_bytes: float = CAPACITY_BYTES
    repair_reserve_bytes: float = REPAIR_RESERVE_BYTES
    tokens: float = attrs.field(init=False)
    updated_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.tokens = self.capacity_bytes

    def available_bytes(self) -> float:
        """Return the bytes that are left, negative when the bucket is overdrawn."""
        now = trio.current_time()
        if self.updated_at is not None:
            refill = (now - self.updated_at) * self.rate_bytes_per_s
            self.tokens = min(self.capacity_bytes, self.tokens + refill)
        self.updated_at = now
        return self.tokens

    def charge(self, size_bytes: int, *, direction: str) -> None:
        """Charge the bucket for bytes that were received or sent."""
        self.available_bytes()
        self.tokens -= size_bytes
        CONTROL_BYTES.labels(direction=direction).inc(size_bytes)

    def delay_s(self, *, reserve_bytes: float = 0.0) -> float:
        """Return the seconds until more than ``reserve_bytes`` are available."""
        missing_bytes = reserve_bytes - self.available_bytes()
        if missing_bytes < 0:
            return 0.0
        return (missing_bytes + 1) / self.rate_bytes_per_s

    async def wait(self) -> None:
        """Wait until the bucket is no longer overdrawn, and count the delay."""
        delay_s = self.delay_s()
        if delay_s > 0:
            CONTROL_DELAYS.inc()
        while delay_s > 0:
            BUDGET_DELAY_SECONDS.inc(delay_s)
            await trio.sleep(delay_s)
            delay_s = self.delay_s()
