"""
How busy a backend server is, from the packets that pass.

Only directions, lengths and times count: a request begins with the first payload of
its caller and is answered with the first payload of the backend server after it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import LoadReport


if TYPE_CHECKING:
    from oleanderweir_agent.forwarding.flow_table import HeldFlow


# Share of a new sample in the mean time of a request.
SERVICE_GAIN = 0.1
# Requests beyond the slots, so that a slot never waits for this process.
SPARE_REQUESTS = 1
# Time over which the mean of requests in progress is taken.
BUSY_MEAN_S = 3.0


class LoadMeter:
    """Counts requests in progress, and measures their times. Times are in seconds."""

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.busy_mean = 0.0
        self.mean_updated_at = float("-inf")
        self.service_s = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would run at once, or be the next to run."""
        return self.busy < self.slots + SPARE_REQUESTS

    def on_request(self, flow: HeldFlow, *, now: float) -> None:
        """Payload of a caller went to the backend server."""
        if flow.requested_at is not None:
            return
        self._update_mean(now)
        self.busy += 1
        flow.requested_at = now
        flow.busy_at_request = self.busy

    def on_answer(self, flow: HeldFlow, *, now: float) -> None:
        """Payload of the backend server went to the caller."""
        if flow.requested_at is None:
            return
        elapsed_s = now - flow.requested_at
        # Requests beyond the slots waited for others; their time is shared out.
        sample = elapsed_s / max(1.0, flow.busy_at_request / self.slots)
        if self.service_s == 0.0:
            self.service_s = sample
        self.service_s += SERVICE_GAIN * (sample - self.service_s)
        self.end_request(flow, now=now)

    def end_request(self, flow: HeldFlow, *, now: float) -> None:
        """Note that the request of a flow is over, answered or not."""
        if flow.requested_at is None:
            return
        self._update_mean(now)
        flow.requested_at = None
        self.busy -= 1

    def make_report(
        self, *, service: str, flows: int, waiting: int, is_accepting: bool, now: float
    ) -> LoadReport:
        """Return what balancers should know."""
        self._update_mean(now)
        return LoadReport(
            service=service,
            busy=self.busy + waiting,
            flows=flows,
            busy_mean=round(self.busy_mean, 2),
            service_ms=round(self.service_s * 1000, 1),
            is_accepting=is_accepting,
        )

    def _update_mean(self, now: float) -> None:
        """Move the mean of requests in progress on to now."""
        share = min(1.0, max(0.0, now - self.mean_updated_at) / BUSY_MEAN_S)
        self.busy_mean += share * (self.busy - self.busy_mean)
        self.mean_updated_at = now
