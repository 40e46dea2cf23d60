from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.queueing import QueuePolicy


SHORT_S = 0.1


LONG_S = 5.0


@attrs.define(kw_only=True)
class Caller:
    admission: Admission
    started_paths: list[str] = attrs.field(factory=list)
    rejections: list[RequestRejectedError] = attrs.field(factory=list)

    async def call(self, path: str, service_time_s: float, deadline_s: float) -> None:
        request = WorkRequest(
            method="GET", path=path, deadline=trio.current_time() + deadline_s
        )
        try:
            async with self.admission.admit(request) as permit:
                self.started_paths.append(path)
                await trio.sleep(service_time_s)
                permit.record_result(WorkResult.SUCCEEDED)
        except RequestRejectedError as rejection:
            self.rejections.append(rejection)

    async def call_all(
        self, paths: Sequence[str], deadline_s: float = 60.0, gap_s: float = 0.001
    ) -> None:
        async with trio.open_nursery() as nursery:
            for path in paths:
                service_time_s = LONG_S if path.startswith("/long") else SHORT_S
                nursery.start_soon(self.call, path, service_time_s, deadline_s)
                await trio.sleep(gap_s)


def make_caller(*, slots: int = 2, policy: QueuePolicy | None = None) -> Caller:
    admission = Admission(
        slots=slots,
        limiter=FixedLimit(limit=slots),
        policy=policy or FifoPolicy(),
    )
    for template in ("/short", "/short/*", "/other"):
        for _ in range(100):
            admission.service_times.observe(
                Route(method="GET", template=template), SHORT_S
            )
    for _ in range(5):
        admission.service_times.observe(Route(method="GET", template="/long"), LONG_S)
    return Caller(admission=admission)
