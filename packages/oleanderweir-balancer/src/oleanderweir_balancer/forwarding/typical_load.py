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
DEFAULT_FLOW_WORK = 0.05
# Bounds of that share as measured, so that few flows don't mislead.
MIN_FLOW_WORK = 0.02
MAX_FLOW_WORK = 0.5
# Mean time of a request before the first measurement, in milliseconds.
DEFAULT_SERVICE_MS = 50.0


@attrs.frozen(kw_only=True)
class TypicalLoad:
    """
    The means of some reports.

    ``flow_work`` is the share of a request that an open flow asks for at any moment.
    """

    busy: float
    flows: float
    flow_work: float
    service_ms: float

    @classmethod
    def of(cls, reports: Sequence[LoadReport]) -> TypicalLoad:
        """Return the means of reports of one service."""
        if not reports:
            return cls(
                busy=0.0,
                flows=0.0,
                flow_work=DEFAULT_FLOW_WORK,
                service_ms=DEFAULT_SERVICE_MS,
            )
        flows = _mean(report.flows for report in reports)
        return cls(
            busy=_mean(report.busy for report in reports),
            flows=flows,
            flow_work=_flow_work(_mean(report.busy_mean for report in reports), flows),
            service_ms=_service_ms(reports),
        )


def _mean(values: Iterable[float]) -> float:
    """Return the mean; the module that has one takes long to load at a start."""
    numbers = list(values)
    return sum(numbers) / len(numbers)


def _flow_work(busy: float, flows: float) -> float:
    """Return the requests in progress per open flow, within bounds."""
    if not flows:
        return DEFAULT_FLOW_WORK
    return min(MAX_FLOW_WORK, max(MIN_FLOW_WORK, busy / flows))


def _service_ms(reports: Sequence[LoadReport]) -> float:
    """Return the mean time of a request where any was measured."""
    measured = [report.service_ms for report in reports if report.service_ms > 0]
    return _mean(measured) if measured else DEFAULT_SERVICE_MS
