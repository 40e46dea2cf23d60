"""The HTTP interface of a stand-in backend server."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import cattrs
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import PlainTextResponse
from starlette.responses import Response
from starlette.responses import StreamingResponse
from starlette.routing import Route

from oleanderweir_bench.backend.backend_options import BackendOptions
from oleanderweir_bench.backend.bulletin import BULLETIN
from oleanderweir_bench.backend.feed_source import FeedSource
from oleanderweir_bench.backend.load_snapshot import LoadSnapshot
from oleanderweir_bench.backend.request_numbers import read_number
from oleanderweir_bench.backend.request_numbers import read_timeout_ms
from oleanderweir_bench.backend.run_outcome import RunOutcome
from oleanderweir_bench.backend.run_request import RunRequest


if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

    from oleanderweir_bench.backend.executor import Executor


MAX_PROOF_BYTES = 64 * 1024 * 1024
MIN_FEED_INTERVAL_MS = 1.0
CLIENT_CLOSED_STATUS = 499
NOT_RUN_HEADERS = {"Request-Not-Run": "1"}


class Application:
    """
    The HTTP interface of a stand-in backend server.

    docs/STANDINS.md describes it.
    """

    def __init__(self, *, executor: Executor, service: str) -> None:
        self.executor = executor
        self.service = service
        self.feeds = FeedSource()
        self.snapshot: LoadSnapshot | None = None
        self.asgi = Starlette(
            routes=[
                Route("/bulletin", self.get_bulletin, methods=["GET"]),
                Route("/feed", self.get_feed, methods=["GET"]),
                Route("/reports", self.post_item, methods=["POST"]),
                Route("/confirmations", self.post_item, methods=["POST"]),
                Route("/proof", self.get_proof, methods=["GET"]),
                Route("/work", self.get_work, methods=["GET"]),
                Route("/health", self.get_health, methods=["GET"]),
                Route("/load", self.get_load, methods=["GET"]),
                Route("/ledger", self.get_ledger, methods=["GET"]),
                Route("/knobs", self.put_knobs, methods=["PUT"]),
            ]
        )

    async def get_bulletin(self, request: Request) -> Response:
        """Return the bulletin."""
        return await self.run(request, lambda: PlainTextResponse(BULLETIN))

    async def get_work(self, request: Request) -> Response:
        """Do work that takes ``ms`` milliseconds at speed 1."""
        return await self.run(request, lambda: PlainTextResponse("done\n"))

    async def get_proof(self, request: Request) -> Response:
        """Return a body of ``bytes`` bytes."""
        size = read_number(request, "bytes", 1000.0)
        if size is None or not 0 <= size <= MAX_PROOF_BYTES:
            return make_bad_request_response(
                f"bytes must be a number from 0 to {MAX_PROOF_BYTES}"
            )
        content = bytes(int(size))
        media_type = "application/octet-stream"
        return await self.run(request, lambda: Response(content, media_type=media_type))

    async def post_item(self, request: Request) -> Response:
        """Receive a clock report or a placement confirmation."""
        try:
            item_id = str(json.loads(await request.body())["id"])
        except (ValueError, KeyError, TypeError):
            return make_bad_request_response(
                'the body must be a JSON object with an "id"'
            )
        return await self.run(request, lambda: JSONResponse({"id": item_id}), item_id)

    async def get_feed(self, request: Request) -> Response:
        """Send a tick every ``interval_ms`` until the caller disconnects."""
        interval_ms = read_number(request, "interval_ms", 1000.0)
        if interval_ms is None or interval_ms < MIN_FEED_INTERVAL_MS:
            return make_bad_request_response(
                "interval_ms must be a number of at least 1"
            )
        if self.feeds.open_feeds >= self.executor.options.connections:
            return self.make_shed_response()
        return StreamingResponse(
            self.feeds.lines(interval_ms),
            media_type="text/plain",
            headers={"Backend-Server": self.executor.ledger.backend_server},
        )

    async def get_health(self, request: Request) -> Response:
        """Return the health, which ``reported_healthy`` may override."""
        del request
        is_healthy = self.executor.options.reported_healthy is not False
        return JSONResponse(
            {"service": self.service, "healthy": is_healthy},
            status_code=200 if is_healthy else 503,
        )

    async def get_load(self, request: Request) -> Response:
        """Return the load, which the options may delay and override."""
        del request
        oldest = self.executor.ledger.now() - self.executor.options.load_lag_s
        if self.snapshot is None or self.snapshot.taken_at <= oldest:
            self.snapshot = self.take_snapshot()
        return JSONResponse(cattrs.unstructure(self.snapshot))

    async def get_ledger(self, request: Request) -> Response:
        """List the runs, oldest first."""
        del request
        return JSONResponse(cattrs.unstructure(list(self.executor.ledger.records)))

    async def put_knobs(self, request: Request) -> Response:
        """Replace all options; those that are not given get their defaults."""
        converter = cattrs.Converter(forbid_extra_keys=True)
        try:
            options = converter.structure(await request.json(), BackendOptions)
        except (ValueError, AttributeError, cattrs.BaseValidationError) as error:
            return make_bad_request_response(repr(error))
        self.executor.set_options(options)
        return JSONResponse({})

    def take_snapshot(self) -> LoadSnapshot:
        """Return the current load, with ``reported_busy`` in place of the real one."""
        options = self.executor.options
        busy, queued = self.executor.busy, self.executor.queued
        if options.reported_busy is not None:
            busy, queued = options.reported_busy, 0
        return LoadSnapshot(
            slots=options.slots,
            busy=busy,
            queued=queued,
            connections=options.connections,
            feeds=self.feeds.open_feeds,
            taken_at=self.executor.ledger.now(),
        )

    async def run(
        self, request: Request, respond: Callable[[], Response], item_id: str = ""
    ) -> Response:
        """Run a request until its caller disconnects; return the response."""
        work_ms = read_number(request, "ms", self.executor.options.work_ms)
        if work_ms is None or work_ms < 0:
            return make_bad_request_response("ms must be a number of at least 0")
        timeout_ms = read_timeout_ms(request)
        if timeout_ms is None:
            return make_bad_request_response(
                "Request-Timeout-Ms must be a number of at least 0"
            )
        run = RunRequest(
            request_id=request.headers.get("request-id", ""),
            route=request.url.path,
            work_ms=work_ms,
            deadline=trio.current_time() + timeout_ms / 1000,
            item_id=item_id,
        )
        outcome = RunOutcome.CANCELLED
        await request.body()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, request, nursery.cancel_scope)
            outcome = await self.executor.execute(run)
            nursery.cancel_scope.cancel()
        return self.make_response(outcome, respond)

    def make_response(
        self, outcome: RunOutcome, respond: Callable[[], Response]
    ) -> Response:
        """Return the response to a request with this outcome."""
        if outcome is RunOutcome.RAN:
            response = respond()
            name = self.executor.ledger.backend_server
            response.headers["Backend-Server"] = name
            return response
        if outcome is RunOutcome.SHED:
            return self.make_shed_response()
        if outcome is RunOutcome.EXPIRED:
            return Response(status_code=504, headers=NOT_RUN_HEADERS)
        if outcome is RunOutcome.TIMED_OUT:
            return Response(status_code=504)
        return Response(status_code=CLIENT_CLOSED_STATUS)

    def make_shed_response(self) -> Response:
        """Return the response to a request that was shed."""
        retry_after = {"Retry-After": str(self.executor.options.retry_after_s)}
        return PlainTextResponse(
            "no free slot\n", status_code=503, headers=NOT_RUN_HEADERS | retry_after
        )


async def cancel_on_disconnect(request: Request, scope: trio.CancelScope) -> None:
    """Cancel ``scope`` when the connection of the caller is closed."""
    message = {"type": ""}
    while message["type"] != "http.disconnect":
        message = dict(await request.receive())
    scope.cancel()


def make_bad_request_response(message: str) -> Response:
    """Return the response to an invalid request, which was not run."""
    return PlainTextResponse(message + "\n", status_code=400, headers=NOT_RUN_HEADERS)
