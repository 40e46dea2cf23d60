"""
Load of a backend server, measured from the packets that pass the agent.

Only directions, lengths and times of packets are used: a request starts with the last
packet of its caller, since the backend server can't run it before, and is answered by
the next payload of the backend server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import LoadReport


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding.flow_table import HeldFlow


# Weight of a new sample in the moving average of the service time.
SERVICE_GAIN = 0.1
# Requests in flight beyond the slots, so that a freed slot gets its next request at
# once.
SPARE_REQUESTS = 1
# Time constant of the moving average of requests in flight.
BUSY_MEAN_S = 3.0


class LoadMeter:
    """Counts requests in flight, and averages their service time, in seconds."""

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        # Requests of several packets whose last one hasn't arrived; they need no slot.
        self.receiving = 0
        self.busy_mean = 0.0
        self.mean_updated_at = float("-inf")
        self.service_s = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would be run at once, or be the next to be run."""
        return self.busy < self.slots + SPARE_REQUESTS

    def on_request(self, flow: HeldFlow, *, now: float) -> None:
        """Count a request whose payload is forwarded to the backend server."""
        if flow.requested_at is not None:
            return
        self._update_mean(now)
        self.busy += 1
        flow.requested_at = now
        flow.busy_at_request = self.busy

    def on_answer(self, flow: HeldFlow, *, now: float) -> None:
        """Record the service time of a request that is answered, and end it."""
        if flow.requested_at is None:
            return
        elapsed_s = now - flow.requested_at
        # Requests beyond the slots wait for others in the backend server: scale their
        # time down to that of one slot.
        sample = elapsed_s / max(1.0, flow.busy_at_request / self.slots)
        if self.service_s == 0.0:
            self.service_s = sample
        self.service_s += SERVICE_GAIN * (sample - self.service_s)
        self.end_request(flow, now=now)

    def end_request(self, flow: HeldFlow, *, now: float) -> None:
        """Stop counting the request of a flow, answered or not."""
        if flow.requested_at is None:
            return
        self._update_mean(now)
        flow.requested_at = None
        self.busy -= 1

    def make_report(
        self, *, service: str, flows: int, waiting: int, is_accepting: bool, now: float
    ) -> LoadReport:
        """Return a report for balancers; ``waiting`` counts the queued requests."""
        self._update_mean(now)
        return LoadReport(
            service=service,
            busy=self.busy + waiting + self.receiving,
            flows=flows,
            busy_mean=round(self.busy_mean, 2),
            service_ms=round(self.service_s * 1000, 1),
            is_accepting=is_accepting,
        )

    def _update_mean(self, now: float) -> None:
        """Update the moving average of requests in flight."""
        share = min(1.0, max(0.0, now - self.mean_updated_at) / BUSY_MEAN_S)
        self.busy_mean += share * (self.busy - self.busy_mean)
        self.mean_updated_at = now
