"""Drains one backend server and shuts down the agent of another under load."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from oleanderweir_bench.callers import CallerError
from oleanderweir_bench.callers import SessionLeavingError
from oleanderweir_bench.departure.departure_result import DepartureResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir_bench.callers import Response
    from oleanderweir_bench.deployment import Deployment
    from oleanderweir_bench.deployment.deployed_server import DeployedServer


BALANCERS = 2
BACKEND_SERVERS = 3
CALLERS = 24
WARM_UP_S = 12.0
REPORT_INTERVAL_S = 0.1
OBSERVATION_S = 8.0
LONG_REQUESTS = 12
LONG_REQUEST_WORK_MS = 3000
SHUTDOWN_DELAY_S = 1.0
LONG_REQUEST_TIMEOUT_S = 20.0
SHUTDOWN_TIMEOUT_S = 40.0
OK_STATUS = 200


@attrs.define(kw_only=True, eq=False)
class DepartureExperiment:
    """
    Removes two backend servers under load.

    One is drained by ticket while callers post reports; a report that did not run is
    posted again. Then the agent of the other is shut down during long requests.
    ``report_progress`` is called with each progress message.
    """

    deployment: Deployment
    report_progress: Callable[[str], None]
    outcomes: Counter[str] = attrs.field(factory=Counter)
    is_stopping: bool = False

    async def run(self) -> DepartureResult:
        """Start the deployment, drain, shut down and return the counts."""
        await self.deployment.start(
            balancers=BALANCERS, backend_servers=BACKEND_SERVERS
        )
        await trio.sleep(WARM_UP_S)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(self._post_reports, number)
            await trio.sleep(REPORT_INTERVAL_S * 10)
            first, second, _ = self.deployment.servers.values()
            last_start_s = await self._drain(first)
            self.is_stopping = True
        self.report_progress(
            f"{first.entry.name} started no work after {last_start_s:.2f} s."
        )
        answered = await self._shut_down(second)
        starts = Counter(await self.deployment.list_started_item_ids())
        return DepartureResult(
            reports_answered=self.outcomes["answered"],
            reports_moved=self.outcomes["moved"],
            reports_failed=self.outcomes["failed"],
            reports_started_twice=sum(
                count > 1 for report, count in starts.items() if report
            ),
            last_start_s=last_start_s,
            long_requests=LONG_REQUESTS,
            long_requests_answered=answered,
            exit_code=second.agent_process.process.returncode,
        )

    async def _post_reports(self, number: int) -> None:
        """Post reports; open a new session after a GOAWAY or an error."""
        posted = 0
        while not self.is_stopping:
            async with self.deployment.create_caller() as caller:
                try:
                    while not self.is_stopping:
                        body = json.dumps({"id": f"{number}-{posted}"}).encode()
                        response = await caller.request("POST", "/reports", body=body)
                        posted += self._record_response(response)
                        await trio.sleep(REPORT_INTERVAL_S)
                except SessionLeavingError:
                    self.outcomes["moved"] += 1
                except CallerError as error:
                    self.outcomes["failed"] += 1
                    self.report_progress(f"a report failed: {error}")
                    posted += 1

    def _record_response(self, response: Response) -> int:
        """Count a response; return 1, or 0 if the report is to be posted again."""
        if response.status == OK_STATUS:
            self.outcomes["answered"] += 1
            return 1
        if "request-not-run" in response.headers:
            self.outcomes["refused"] += 1
            return 0
        self.outcomes["failed"] += 1
        self.report_progress(f"a report got status {response.status}")
        return 1

    async def _drain(self, server: DeployedServer) -> float:
        """Drain a backend server; return the seconds until it last started work."""
        published_at = time.time()
        entry = attrs.evolve(server.entry, is_draining=True)
        await self.deployment.publish(backend_servers=(entry,))
        await trio.sleep(OBSERVATION_S)
        async with httpx.AsyncClient() as client:
            url = f"http://{server.backend_address}/ledger"
            records = (await client.get(url)).json()
        starts = [record["started_at"] - published_at for record in records]
        return max(starts, default=0.0)

    async def _shut_down(self, server: DeployedServer) -> int:
        """Shut an agent down during long requests; return how many succeeded."""
        answered: list[int] = []
        async with trio.open_nursery() as nursery:
            for _ in range(LONG_REQUESTS):
                nursery.start_soon(self._send_long_request, answered)
            await trio.sleep(SHUTDOWN_DELAY_S)
            server.agent_process.terminate()
            with trio.move_on_after(SHUTDOWN_TIMEOUT_S):
                await server.agent_process.wait()
        return len(answered)

    async def _send_long_request(self, answered: list[int]) -> None:
        """Send one long request on a separate session."""
        async with self.deployment.create_caller() as caller:
            try:
                response = await caller.request(
                    "GET",
                    f"/work?ms={LONG_REQUEST_WORK_MS}",
                    timeout_s=LONG_REQUEST_TIMEOUT_S,
                )
            except CallerError as error:
                self.report_progress(f"a long request failed: {error}")
                return
        if response.status == OK_STATUS:
            answered.append(response.status)
        else:
            self.report_progress(f"a long request got status {response.status}")
