"""Keeps sessions open while balancers and backend servers change."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.callers import CallerError
from oleanderweir_bench.callers import SessionLeavingError
from oleanderweir_bench.churn.churn_result import ChurnResult
from oleanderweir_bench.churn.feed_session import FeedSession
from oleanderweir_bench.churn.session_opener import SessionOpener


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.callers import Http3Caller
    from oleanderweir_bench.churn.churn_schedule import ChurnSchedule
    from oleanderweir_bench.deployment import Deployment


BALANCERS = 3
BACKEND_SERVERS = 4
MAX_CONCURRENT_HANDSHAKES = 10
OPENING_TIMEOUT_S = 120.0
OK_STATUS = 200


class ChurnExperiment:
    """
    Keeps sessions open, each with a feed, while the deployment changes.

    One balancer is killed, one is started and one is frozen; a backend server is added
    by ticket and another is drained by ticket. At the end each session is probed: it
    posts a report. ``report_progress`` is called with each progress message.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        schedule: ChurnSchedule,
        sessions: int,
        routing: str,
        report_progress: Callable[[str], None],
    ) -> None:
        self.deployment = deployment
        self.schedule = schedule
        self.sessions = [FeedSession(number=number) for number in range(sessions)]
        self.routing = routing
        self.report_progress = report_progress
        self.handshake_limiter = trio.CapacityLimiter(MAX_CONCURRENT_HANDSHAKES)
        self.probes_started = trio.Event()
        self.started_at = 0.0

    async def run(self) -> ChurnResult:
        """Run the whole schedule and return the result."""
        opener = SessionOpener(create_caller=self.deployment.create_caller)
        await self.deployment.start(
            balancers=BALANCERS, backend_servers=BACKEND_SERVERS
        )
        async with trio.open_nursery() as nursery:
            for session in self.sessions:
                nursery.start_soon(self.run_session, session)
            await self.wait_opened()
            nursery.start_soon(opener.run)
            await self.run_schedule()
            self.mark_stalled_sessions()
            self.probes_started.set()
            schedule = self.schedule
            await trio.sleep(schedule.probe_period_s + schedule.probe_timeout_s)
            nursery.cancel_scope.cancel()
        return ChurnResult.summarize(
            routing=self.routing,
            sessions=self.sessions,
            opener=opener,
            doubled_runs=await self.count_doubled_runs(),
        )

    async def wait_opened(self) -> None:
        """
        Wait until every session has received its first tick or failed.

        Stop waiting after ``OPENING_TIMEOUT_S``.
        """
        with trio.move_on_after(OPENING_TIMEOUT_S):
            for session in self.sessions:
                await session.opened.wait()
        self.started_at = trio.current_time()
        failed = sum(session.is_broken for session in self.sessions)
        self.report_progress(
            f"{len(self.sessions) - failed} sessions are open, {failed} failed."
        )

    async def run_schedule(self) -> None:
        """Make each change at its scheduled time."""
        schedule = self.schedule
        steps: list[tuple[float, str, Callable[[], Awaitable[None]]]] = [
            (schedule.kill_at_s, "kill balancer-1", self.kill_balancer),
            (schedule.start_at_s, "start balancer-4", self.start_balancer),
            (schedule.freeze_at_s, "freeze balancer-2", self.freeze_balancer),
            (schedule.add_at_s, "add a backend server", self.add_backend_server),
            (schedule.drain_at_s, "drain a backend server", self.drain_backend_server),
        ]
        for at_s, text, step in steps:
            await trio.sleep_until(self.started_at + at_s)
            self.report_progress(
                f"{trio.current_time() - self.started_at:5.1f} s: {text}"
            )
            await step()
        await trio.sleep_until(self.started_at + schedule.end_at_s)

    async def kill_balancer(self) -> None:
        """Kill a balancer; the fabric stops using it after the detection delay."""
        balancer = self.deployment.balancers["balancer-1"]
        balancer.process.kill()
        await trio.sleep(self.schedule.detection_delay_s)
        await self.deployment.fabric.remove_balancer(balancer.host)

    async def start_balancer(self) -> None:
        """Start one more balancer and add it to the fabric once it is ready."""
        balancer = await self.deployment.start_balancer(BALANCERS + 1)
        await self.deployment.wait_balancer(balancer)
        await self.deployment.fabric.add_balancer(balancer.host)

    async def freeze_balancer(self) -> None:
        """Suspend a balancer for the freeze time, then resume it."""
        balancer = self.deployment.balancers["balancer-2"]
        balancer.process.freeze()
        await trio.sleep(self.schedule.freeze_s)
        balancer.process.thaw()

    async def add_backend_server(self) -> None:
        """Add a backend server by ticket."""
        server = await self.deployment.start_server(BACKEND_SERVERS + 1)
        await self.deployment.publish(backend_servers=(server.entry,))
        await self.deployment.wait_server(server)

    async def drain_backend_server(self) -> None:
        """Drain a backend server by ticket."""
        entry = self.deployment.make_entry(1)
        draining = attrs.evolve(entry, is_draining=True)
        await self.deployment.publish(backend_servers=(draining,))

    async def run_session(self, session: FeedSession) -> None:
        """Run one session with its feed; record the error that breaks it."""
        try:
            async with self.handshake_limiter:
                caller = self.deployment.create_caller()
                await caller.__aenter__()
            try:
                await self.read_feed(session, caller)
            finally:
                await caller.__aexit__(None, None, None)
        except CallerError as error:
            session.error = session.error or str(error)
        finally:
            session.opened.set()

    async def read_feed(self, session: FeedSession, caller: Http3Caller) -> None:
        """Read the feed, and post a report after the schedule."""
        feed = await caller.open_feed("/feed?interval_ms=1000")
        async with feed, trio.open_nursery() as nursery:
            nursery.start_soon(self.probe, session, caller)
            await session.read_ticks(feed)
            nursery.cancel_scope.cancel()

    async def probe(self, session: FeedSession, caller: Http3Caller) -> None:
        """Post a report at the session's time in the probe period."""
        await self.probes_started.wait()
        share = session.number / len(self.sessions)
        await trio.sleep(share * self.schedule.probe_period_s)
        try:
            await self.post_report(session, caller)
        except SessionLeavingError:
            await self.post_on_new_session(session)
        except CallerError as error:
            session.probe_error = str(error)

    async def post_on_new_session(self, session: FeedSession) -> None:
        """Post the report on a new session after a GOAWAY; the feed stays open."""
        session.has_moved = True
        try:
            async with self.deployment.create_caller() as caller:
                await self.post_report(session, caller)
        except CallerError as error:
            session.probe_error = str(error)

    async def post_report(self, session: FeedSession, caller: Http3Caller) -> None:
        """Post the report of a session; any status but 200 is recorded as an error."""
        body = json.dumps({"id": f"report-{session.number}"}).encode()
        response = await caller.request(
            "POST", "/reports", body=body, timeout_s=self.schedule.probe_timeout_s
        )
        if response.status != OK_STATUS:
            session.probe_error = f"status {response.status}"

    def mark_stalled_sessions(self) -> None:
        """Record an error for each session whose feed has stalled."""
        now = trio.current_time()
        for session in self.sessions:
            if not session.error and session.is_stalled(
                now, self.schedule.stall_timeout_s
            ):
                last_tick_s = session.last_tick_at - self.started_at
                session.error = f"no tick after {last_tick_s:.0f} s"

    async def count_doubled_runs(self) -> int:
        """Return how many reports were started more than once."""
        runs = Counter(await self.deployment.list_started_item_ids())
        return sum(count > 1 for count in runs.values())
