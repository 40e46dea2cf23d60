"""Simulated demand at a variable rate."""

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
    Poisson arrivals at ``rate(time)`` requests per second, at most ``peak_rate``.

    Work is log-normal with mean ``work_s`` and shape ``sigma``. A share ``long_share``
    of the requests takes ``long_factor`` times as long; these have their own path
    unless ``hides_long``.
    """

    random: random.Random
    rate: Callable[[float], float]
    peak_rate: float
    deadline_s: float
    work_s: float
    sigma: float = 0.4
    long_share: float = 0.0
    long_factor: float = 50.0
    long_deadline_s: float = 60.0
    hides_long: bool = False

    async def send_requests(self, service: SimulatedService, duration_s: float) -> None:
        """Send requests for ``duration_s``, and wait until all are completed."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(self.peak_rate))
                time_s = trio.current_time() - started_at
                if time_s >= duration_s:
                    return
                if self.random.random() * self.peak_rate < self.rate(time_s):
                    nursery.start_soon(service.serve, self.make_job())

    def make_job(self) -> Job:
        """Return the next request."""
        is_long = self.random.random() < self.long_share
        factor = self.long_factor if is_long else 1.0
        deadline_s = self.long_deadline_s if is_long else self.deadline_s
        now = trio.current_time()
        mu = -self.sigma * self.sigma / 2.0
        noise = self.random.lognormvariate(mu, self.sigma)
        has_long_path = is_long and not self.hides_long
        return Job(
            path="/proof" if has_long_path else "/bulletin",
            work_s=self.work_s * factor * noise,
            arrived_at=now,
            deadline=now + deadline_s,
            is_long=is_long,
        )
