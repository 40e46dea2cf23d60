from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import attrs
import trio

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir_agent.copies import CopyOutcome
from oleanderweir_agent.copies import CopyPolicy
from oleanderweir_agent.copies import CopyRefusal
from oleanderweir_agent.copies.copy_runner import CopyRunner
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.requests import Request
from oleanderweir_agent.requests import ResponseHead
from oleanderweir_agent.retries import AttemptCount
from tests.oleanderweir_agent.fault_matrix.recording_responder import RecordingResponder
from tests.oleanderweir_agent.load.relay_policies import make_relay_policy


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir_agent.copies import AttemptPlace
    from oleanderweir_agent.requests import Responder


ADDRESS = SocketAddress(host="127.0.0.1", port=1)
ROUTE = Route(method="GET", template="/short")
# The 95th percentile of the recent answer times of the route.
DELAY_S = 0.1


@attrs.define(kw_only=True, eq=False)
class ZonedConfiguration:
    """A service of four backend servers; only that of the last is in another zone."""

    max_copy_share: float = 0.2
    zones: dict[str, str] = attrs.field(
        factory=lambda: {"a": "z1", "b": "z1", "c": "z1", "d": "z2"}
    )
    draining: frozenset[str] = frozenset()

    def service(self, name: str) -> Service:
        return Service(name=name, address=ADDRESS, max_copy_share=self.max_copy_share)

    def backend_servers(self, service: str) -> list[BackendServer]:
        return [
            BackendServer(
                name=name,
                service=service,
                availability_zone=zone,
                agent_address=ADDRESS,
                peer_address=ADDRESS,
                slots=1,
                is_draining=name in self.draining,
            )
            for name, zone in self.zones.items()
        ]


def make_copy_policy(*, credit: float = 1.0) -> CopyPolicy:
    """Return the policy of an agent that knows its route, with copies left."""
    relay_policy = make_relay_policy()
    policy = CopyPolicy(
        service_name="items",
        configuration=cast("ConfigurationView", ZonedConfiguration()),
        admission=relay_policy.admission,
        group=relay_policy.group,
    )
    for _ in range(20):
        policy.delays.record(ROUTE, DELAY_S)
    policy.budget.change_share(0.2)
    policy.budget.credit = credit
    return policy


@attrs.define(kw_only=True, eq=False)
class Run:
    """What one run of a request does: wait, answer in two halves, or fail."""

    starts_after_s: float = 0.0
    ends_after_s: float = 0.0
    status: int = 200
    part_count: int = 1
    error: Exception | None = None
    ignores_cancel: bool = False
    is_started: bool = False
    is_cancelled: bool = False
    ended_at: float | None = None

    async def execute(self, responder: Responder, body: bytes) -> None:
        self.is_started = True
        try:
            with trio.CancelScope(shield=self.ignores_cancel):
                await trio.sleep(self.starts_after_s)
                await self.answer(responder, body)
        except trio.Cancelled:
            self.is_cancelled = True
            raise
        finally:
            self.ended_at = trio.current_time()

    async def answer(self, responder: Responder, body: bytes) -> None:
        if self.error is not None and self.ends_after_s == 0.0:
            raise self.error
        await responder.send_head(ResponseHead(status=self.status, headers=()))
        await responder.send_data(body * self.part_count)
        await trio.sleep(self.ends_after_s)
        if self.error is not None:
            raise self.error
        await responder.send_data(body)
        await responder.finish()


@attrs.define(kw_only=True, eq=False)
class CopyBench:
    """A runner of copies whose two runs follow a script."""

    first: Run
    copy: Run = attrs.field(factory=Run)
    policy: CopyPolicy = attrs.field(factory=make_copy_policy)
    responder: RecordingResponder = attrs.field(factory=RecordingResponder)
    attempts: AttemptCount = attrs.field(
        factory=lambda: AttemptCount(max_attempts=3, count=1)
    )
    peers: list[str] = attrs.field(factory=list)

    async def send(self, *, method: str = "GET", timeout_s: float = 10.0) -> None:
        runner = CopyRunner(dispatcher=self, policy=self.policy, relay=self)
        now = trio.current_time()
        request = Request(
            request_id="request-1",
            method=method,
            path="/short",
            headers=(),
            body=b"",
            arrived_at=now,
            deadline=now + timeout_s,
        )
        await runner.run_work(request, self.responder, self.attempts)

    async def run_work(
        self, request: Request, responder: Responder, place: AttemptPlace
    ) -> None:
        await self.first.execute(responder, b"first.")

    async def offer(
        self, *, peer: str, request: Request, responder: Responder, max_wait_s: float
    ) -> None:
        self.peers.append(peer)
        # A copy must not wait for a slot.
        assert max_wait_s == 0.0
        await self.copy.execute(responder, b"copy.")

    @property
    def outcomes(self) -> list[CopyOutcome]:
        """The outcomes that were counted."""
        metrics = self.policy.metrics
        return [o for o, counter in metrics.outcomes.items() if read(counter)]

    @property
    def refusals(self) -> list[CopyRefusal]:
        """The reasons that were counted."""
        metrics = self.policy.metrics
        return [r for r, counter in metrics.refusals.items() if read(counter)]


def read(counter: object) -> float:
    """Return the value of a bound counter."""
    return float(counter._value.get())  # type: ignore[attr-defined]
