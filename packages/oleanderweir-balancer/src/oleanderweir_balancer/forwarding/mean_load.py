"""What balancers expect of a backend server of a service that told them nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from oleanderweir.peering.messages import LoadReport


# The share of a request that an open flow asks for at any moment, while no backend
# server of the service has been seen at work.
DEFAULT_REQUESTS_PER_FLOW = 0.05
# Bounds of that share as measured, so that few flows don't mislead.
MIN_REQUESTS_PER_FLOW = 0.02
MAX_REQUESTS_PER_FLOW = 0.5
# Mean time of a request before the first measurement, in milliseconds.
DEFAULT_SERVICE_MS = 50.0


@attrs.frozen(kw_only=True)
class MeanLoad:
    """
    The means of some reports.

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
    """Return the mean; the module that has one takes long to load at a start."""
    numbers = list(values)
    return sum(numbers) / len(numbers)


def _requests_per_flow(busy: float, flows: float) -> float:
    """Return the requests in progress per open flow, within bounds."""
    if not flows:
        return DEFAULT_REQUESTS_PER_FLOW
    return min(MAX_REQUESTS_PER_FLOW, max(MIN_REQUESTS_PER_FLOW, busy / flows))


def _mean_service_ms(reports: Sequence[LoadReport]) -> float:
    """Return the mean time of a request where any was measured."""
    measured = [report.service_ms for report in reports if report.service_ms > 0]
    return _mean(measured) if measured else DEFAULT_SERVICE_MS
