from __future__ import annotations

import random

from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import LoadReporter
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RelayPolicy
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import WorkRequest


REQUEST = WorkRequest(method="GET", path="/short", deadline=10.0, arrived_at=0.0)


def make_relay_policy(*, slots: int = 1) -> RelayPolicy:
    admission = Admission(
        slots=slots, limiter=FixedLimit(limit=slots), policy=FifoPolicy()
    )
    for _ in range(10):
        admission.service_times.observe(Route(method="GET", template="/short"), 0.1)
    table = LoadTable(members=frozenset({"a", "b", "c", "d"}))
    for name in "abcd":
        reporter = LoadReporter(name=name, incarnation=1, admission=admission)
        table.merge(reporter.report())
    group = ServiceGroup(
        own_name="a", table=table, chooser=LeastWaitChooser(random=random.Random(1))
    )
    return RelayPolicy(admission=admission, group=group)
