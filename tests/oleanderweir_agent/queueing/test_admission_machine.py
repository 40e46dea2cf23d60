from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import greenlet  # type: ignore[import-untyped]
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from trio.testing import MockClock
from trio.testing import wait_all_tasks_blocked

from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from collections.abc import Callable


SLOTS = 3


@attrs.define(kw_only=True, eq=False)
class Call:
    path: str
    deadline: float
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    finish: trio.Event = attrs.field(factory=trio.Event)
    result: WorkResult = WorkResult.SUCCEEDED
    is_running: bool = False
    end_count: int = 0

    async def run(self, admission: Admission) -> None:
        request = WorkRequest(method="GET", path=self.path, deadline=self.deadline)
        try:
            with self.scope:
                async with admission.admit(request) as permit:
                    self.is_running = True
                    await self.finish.wait()
                    permit.record_result(self.result, retry_after_s=0.1)
        except RequestRejectedError:
            assert not self.is_running
        finally:
            self.is_running = False
            self.end_count += 1


class AdmissionMachine(RuleBasedStateMachine):
    """Runs an Admission in a greenlet, one command at a time, in virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = MockClock()
        self.calls: list[Call] = []
        self.command: Callable[[], None] | None = None
        self.trio_greenlet = greenlet.greenlet(
            lambda: trio.run(self.main, clock=self.clock)
        )
        self.trio_greenlet.switch()

    async def main(self) -> None:
        self.admission = Admission(
            slots=SLOTS,
            limiter=ObservedSlotsLimit(ceiling=SLOTS),
            policy=ShortestExpectedPolicy(),
            max_waiting=4,
        )
        async with trio.open_nursery() as self.nursery:
            while True:
                parent = greenlet.getcurrent().parent
                assert parent is not None
                parent.switch()
                if self.command is None:
                    break
                self.command()
                await wait_all_tasks_blocked()
            self.nursery.cancel_scope.cancel()

    def step(self, command: Callable[[], None]) -> None:
        self.command = command
        self.trio_greenlet.switch()

    def live(self) -> list[Call]:
        return [call for call in self.calls if not call.end_count]

    def running(self) -> list[Call]:
        return [call for call in self.calls if call.is_running]

    @rule(
        deadline_s=st.sampled_from([0.0, 0.5, 2.0, 30.0]),
        path=st.sampled_from(["/short", "/long"]),
    )
    def arrive(self, deadline_s: float, path: str) -> None:
        def command() -> None:
            call = Call(path=path, deadline=trio.current_time() + deadline_s)
            self.calls.append(call)
            self.nursery.start_soon(call.run, self.admission)

        self.step(command)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), result=st.sampled_from(WorkResult), cancels=st.booleans())
    def end(self, data: st.DataObject, result: WorkResult, cancels: bool) -> None:
        call = data.draw(st.sampled_from(self.running()))
        call.result = result

        def command() -> None:
            call.finish.set()
            if cancels:
                call.scope.cancel()

        self.step(command)

    @precondition(lambda self: self.live())
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        call = data.draw(st.sampled_from(self.live()))
        self.step(call.scope.cancel)

    @precondition(lambda self: self.running() and self.live() != self.running())
    @rule(data=st.data())
    def free_a_slot_and_cancel_a_queued_call(self, data: st.DataObject) -> None:
        waiting = [call for call in self.live() if not call.is_running]
        call = data.draw(st.sampled_from(waiting))
        running = data.draw(st.sampled_from(self.running()))

        def command() -> None:
            running.finish.set()
            call.scope.cancel()

        self.step(command)

    @rule(seconds=st.sampled_from([0.01, 0.4, 3.0]))
    def wait(self, seconds: float) -> None:
        self.step(lambda: self.clock.jump(seconds))

    @rule()
    def drain(self) -> None:
        self.step(lambda: self.admission.drain.begin(drain_period_s=60.0))

    @rule()
    def call_off_drain(self) -> None:
        self.step(self.admission.drain.cancel)

    @rule()
    def restart_backend_server(self) -> None:
        self.step(self.admission.ramp.restart)

    @invariant()
    def slots_are_conserved(self) -> None:
        running = self.admission.queue.running
        assert len(running) == len(self.running()) <= SLOTS
        assert len(running) == self.admission.drain.in_flight
        assert not any(permit.is_released for permit in running)

    @invariant()
    def every_call_is_queued_running_or_ended_once(self) -> None:
        waiting = len(self.admission.queue.waiting)
        assert waiting + len(self.running()) == len(self.live())
        assert all(call.end_count <= 1 for call in self.calls)

    @invariant()
    def no_call_is_queued_during_a_drain(self) -> None:
        if self.admission.drain.is_draining:
            assert not self.admission.queue.waiting

    def teardown(self) -> None:
        self.command = None
        self.trio_greenlet.switch()
        assert not self.admission.queue.running
        assert not self.admission.queue.waiting
        assert self.admission.drain.in_flight == 0


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
