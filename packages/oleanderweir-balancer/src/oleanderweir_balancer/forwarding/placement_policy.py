"""
Selects the backend server for a new flow.

Accounts for many balancers with slightly outdated views of the fleet, for backend
servers of different speed, and for long flows beside flows of a single request.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from oleanderweir.desired_state import BackendState
from oleanderweir.flows import PLACEMENT_CANDIDATES
from oleanderweir.flows import candidate_hosts
from oleanderweir.peering.report_interval import MIN_SILENCE_S
from oleanderweir.peering.report_interval import silence_s
from oleanderweir_balancer.forwarding.agent_load import AgentLoad
from oleanderweir_balancer.forwarding.mean_load import MeanLoad


if TYPE_CHECKING:
    import random
    from collections.abc import Collection
    from collections.abc import Iterable

    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.flows import FlowKey
    from oleanderweir.peering.messages import LoadReport


# Factor on the service time of a backend server right after its start.
COLD_START_FACTOR = 1.6
# Added to the load of a backend server in another availability zone, in requests.
ZONE_PENALTY = 0.05


class PlacementPolicy:
    """Selects the backend server with the least expected time for another request."""

    def __init__(self, *, availability_zone: str, random_source: random.Random) -> None:
        self.availability_zone = availability_zone
        self.random_source = random_source
        self.loads: dict[str, AgentLoad] = {}
        # Time without a report after which an agent counts as silent, in seconds.
        self.silence_limit_s = MIN_SILENCE_S
        # New flows placed at each agent since its last report.
        self.placed_since_report: Counter[str] = Counter()

    def record_report(self, host: str, report: LoadReport, *, now: float) -> None:
        """Store the load report of an agent."""
        self.loads[host] = AgentLoad(report=report, reported_at=now)
        self.placed_since_report.pop(host, None)

    def discard_absent(self, hosts: Collection[str]) -> None:
        """Remove the loads of agents that are not among ``hosts``."""
        for host in [host for host in self.loads if host not in hosts]:
            del self.loads[host]

    def place(
        self,
        candidates: Iterable[BackendRecord],
        *,
        key: FlowKey,
        excluding: Collection[str],
        now: float,
    ) -> BackendRecord | None:
        """
        Return the backend server for a new flow, or ``None`` if there is none.

        One whose agent is silent or accepts no flows is chosen only if no other is
        ready, and one whose address is used by another service not at all.

        Only the first hosts of the flow's ranking are compared: balancers with the same
        view then don't all select the one that looks idle, and a later lookup of the
        flow can query these hosts first.
        """
        ready = [
            record
            for record in candidates
            if record.state is BackendState.READY
            and record.host not in excluding
            and not self._is_of_other_service(record, now)
        ]
        usable = [record for record in ready if self._is_usable(record, now)] or ready
        if not usable:
            return None
        if len(usable) > PLACEMENT_CANDIDATES:
            hosts = {record.host for record in usable}
            first = candidate_hosts(key, hosts, count=PLACEMENT_CANDIDATES)
            usable = [record for record in usable if record.host in first]
        mean = self._mean_load(usable)
        chosen = min(usable, key=lambda record: self._expected_ms(record, mean))
        self.placed_since_report[chosen.host] += 1
        return chosen

    def _is_of_other_service(self, record: BackendRecord, now: float) -> bool:
        """Whether the agent at the address of a record reports another service."""
        load = self.loads.get(record.host)
        if load is None or self.is_silent(record.host, now=now):
            return False
        return load.report.service != record.service

    def _is_usable(self, record: BackendRecord, now: float) -> bool:
        """Whether the agent is not silent and accepts new flows, by its last report."""
        load = self.loads.get(record.host)
        if load is None:
            return True
        return load.report.is_accepting and not self.is_silent(record.host, now=now)

    def is_silent(self, host: str, *, now: float) -> bool:
        """Whether an agent that reported before has stopped reporting."""
        load = self.loads.get(host)
        return load is not None and load.is_silent(
            limit_s=self.silence_limit_s, now=now
        )

    def set_fleet_size(self, size: int) -> None:
        """Set the silence limit by the report interval of a fleet of this size."""
        self.silence_limit_s = silence_s(size)

    def _mean_load(self, records: Collection[BackendRecord]) -> MeanLoad:
        """Return the mean load of those backend servers that sent a report."""
        return MeanLoad.from_reports(
            [
                self.loads[record.host].report
                for record in records
                if record.host in self.loads
            ]
        )

    def _expected_ms(self, record: BackendRecord, mean: MeanLoad) -> float:
        """Return the expected time of another request there, in milliseconds."""
        load = self.loads.get(record.host)
        service_ms = mean.service_ms
        work = self.placed_since_report[record.host] * (1 + mean.requests_per_flow)
        if load is None:
            # Without a report, assume the mean load: otherwise the backend server would
            # look idle to every balancer that starts.
            work += mean.busy + mean.requests_per_flow * mean.flows
        else:
            service_ms = load.report.service_ms or service_ms
            work += load.report.busy + mean.requests_per_flow * load.report.flows
        if record.cold_remaining_s > 0:
            service_ms *= COLD_START_FACTOR
        if record.availability_zone != self.availability_zone:
            work += ZONE_PENALTY
        # Break ties at random, so that balancers don't all select the same server.
        work += self.random_source.random() * 0.5
        return service_ms * (1 + work / record.slots)
