"""Requests that arrive at a rate that changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.experiments.job import Job


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir_bench.experiments.simulated_service import SimulatedService


@attrs.define(kw_only=True)
class Demand:
    """
    Poisson arrivals at ``rate(time)`` requests a second, up to ``highest_rate``.

    Work is log-normal around ``work_s``; a share ``long_share`` of the requests is
    ``long_factor`` times as long, under a path of its own unless ``hides_long``.
    """

    random: random.Random
    rate: Callable[[float], float]
    highest_rate: float
    deadline_s: float
    work_s: float
    spread: float = 0.4
    long_share: float = 0.0
    long_factor: float = 50.0
    long_deadline_s: float = 60.0
    hides_long: bool = False

    async def send_for(self, service: SimulatedService, for_s: float) -> None:
        """Send requests for a time and wait for the last one's end."""
        begins_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(self.highest_rate))
                time_s = trio.current_time() - begins_at
                if time_s >= for_s:
                    return
                if self.random.random() * self.highest_rate < self.rate(time_s):
                    nursery.start_soon(service.serve, self.make_job())

    def make_job(self) -> Job:
        """Return the next request."""
        is_long = self.random.random() < self.long_share
        factor = self.long_factor if is_long else 1.0
        deadline_s = self.long_deadline_s if is_long else self.deadline_s
        now = trio.current_time()
        mu = -self.spread * self.spread / 2.0
        noise = self.random.lognormvariate(mu, self.spread)
        is_seen_long = is_long and not self.hides_long
        return Job(
            path="/proof" if is_seen_long else "/bulletin",
            work_s=self.work_s * factor * noise,
            arrived_at=now,
            deadline=now + deadline_s,
            is_long=is_long,
        )
