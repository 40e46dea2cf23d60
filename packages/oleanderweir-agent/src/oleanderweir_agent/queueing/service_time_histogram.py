"""A histogram of recent service times in exponential buckets."""

from __future__ import annotations

import math

import attrs


FIRST_BUCKET_MAX_S = 0.0005
BUCKET_GROWTH = 1.25
BUCKET_COUNT = 60
HALF_LIFE_RUNS = 300
MAX_WEIGHT = 1e12


@attrs.define(kw_only=True)
class ServiceTimeHistogram:
    """
    A histogram of service times in seconds with exponential decay.

    The upper bound of the first bucket is half a millisecond, that of each further one
    a quarter higher. The last bucket holds all times above about 209 s. The weight of
    a run halves with every ``half_life_runs`` later runs.
    """

    half_life_runs: int = HALF_LIFE_RUNS
    weights: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    sums: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    next_weight: float = 1.0
    total_weight: float = 0.0
    total_sum: float = 0.0
    quantiles: dict[float, float] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no run has been observed."""
        return self.total_weight == 0.0

    @property
    def mean_s(self) -> float:
        """The mean service time; 0 when no run has been observed."""
        if self.is_empty:
            return 0.0
        return self.total_sum / self.total_weight

    def observe(self, service_time_s: float) -> None:
        """Add the service time of one run."""
        self.quantiles.clear()
        index = self.bucket_of(service_time_s)
        self.weights[index] += self.next_weight
        self.sums[index] += self.next_weight * service_time_s
        self.total_weight += self.next_weight
        self.total_sum += self.next_weight * service_time_s
        self.next_weight *= 2.0 ** (1.0 / self.half_life_runs)
        if self.next_weight > MAX_WEIGHT:
            self.rescale()

    def bucket_of(self, service_time_s: float) -> int:
        """Return the index of the bucket for a service time."""
        if service_time_s <= FIRST_BUCKET_MAX_S:
            return 0
        index = math.ceil(math.log(service_time_s / FIRST_BUCKET_MAX_S, BUCKET_GROWTH))
        return min(index, BUCKET_COUNT - 1)

    def rescale(self) -> None:
        """Scale the weights so that the next is 1; old ones become negligible."""
        factor = 1.0 / self.next_weight
        self.weights = [weight * factor for weight in self.weights]
        self.sums = [total * factor for total in self.sums]
        self.total_weight = sum(self.weights)
        self.total_sum = sum(self.sums)
        self.next_weight = 1.0

    def quantile_s(self, quantile: float) -> float:
        """Return the given quantile of the service times, from 0 to 1."""
        if quantile not in self.quantiles:
            self.quantiles[quantile] = self.compute_quantile_s(quantile)
        return self.quantiles[quantile]

    def compute_quantile_s(self, quantile: float) -> float:
        """Return the mean of the bucket that contains the given quantile."""
        target_weight = quantile * self.total_weight
        cumulative_weight = 0.0
        for weight, total in zip(self.weights, self.sums, strict=True):
            cumulative_weight += weight
            if weight > 0.0 and cumulative_weight >= target_weight:
                return total / weight
        return self.mean_s

    def residual_s(self, elapsed_s: float) -> float:
        """
        Return the expected remaining time of a run after ``elapsed_s`` seconds.

        A run in a higher bucket than all observed ones is expected to take as long
        again. Otherwise, the estimate is the mean of the runs in its bucket and above,
        less the elapsed time. For a run that already exceeds this mean, it is a quarter
        of the mean, about one bucket width, or ``elapsed_s`` in the last bucket.
        """
        first = self.bucket_of(elapsed_s)
        weight = sum(self.weights[first:])
        if weight <= 0.0:
            return elapsed_s
        mean_s = sum(self.sums[first:]) / weight
        if mean_s <= elapsed_s:
            return (
                elapsed_s
                if first == BUCKET_COUNT - 1
                else mean_s * (BUCKET_GROWTH - 1.0)
            )
        return mean_s - elapsed_s
