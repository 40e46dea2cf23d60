"""The mean load of a service, assumed for backend servers without a report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from oleanderweir.peering.messages import LoadReport


# Requests in flight per open flow, while no backend server of the service has
# reported open flows.
DEFAULT_REQUESTS_PER_FLOW = 0.05
# Bounds of the reported ratio: with few flows it is unreliable.
MIN_REQUESTS_PER_FLOW = 0.02
MAX_REQUESTS_PER_FLOW = 0.5
# Mean service time of a request before the first report, in milliseconds.
DEFAULT_SERVICE_MS = 50.0


@attrs.frozen(kw_only=True)
class MeanLoad:
    """
    The means of the load reports of several agents.

    ``requests_per_flow`` is the mean number of requests in flight per open flow.
    """

    busy: float
    flows: float
    requests_per_flow: float
    service_ms: float

    @classmethod
    def from_reports(cls, reports: Sequence[LoadReport]) -> MeanLoad:
        """Return the means of reports of one service."""
        if not reports:
            return cls(
                busy=0.0,
                flows=0.0,
                requests_per_flow=DEFAULT_REQUESTS_PER_FLOW,
                service_ms=DEFAULT_SERVICE_MS,
            )
        flows = _mean(report.flows for report in reports)
        return cls(
            busy=_mean(report.busy for report in reports),
            flows=flows,
            requests_per_flow=_requests_per_flow(
                _mean(report.busy_mean for report in reports), flows
            ),
            service_ms=_mean_service_ms(reports),
        )


def _mean(values: Iterable[float]) -> float:
    """Return the mean; importing ``statistics`` for it would slow the start."""
    numbers = list(values)
    return sum(numbers) / len(numbers)


def _requests_per_flow(busy: float, flows: float) -> float:
    """Return the requests in flight per open flow, within bounds."""
    if not flows:
        return DEFAULT_REQUESTS_PER_FLOW
    return min(MAX_REQUESTS_PER_FLOW, max(MIN_REQUESTS_PER_FLOW, busy / flows))


def _mean_service_ms(reports: Sequence[LoadReport]) -> float:
    """Return the mean service time over the agents that measured one."""
    measured = [report.service_ms for report in reports if report.service_ms > 0]
    return _mean(measured) if measured else DEFAULT_SERVICE_MS
