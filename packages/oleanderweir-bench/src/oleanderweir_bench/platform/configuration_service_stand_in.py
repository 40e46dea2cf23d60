"""A stand-in for the platform's configuration service and instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.responses import Response
from starlette.routing import Route

from oleanderweir.configuration_service.messages import encode_message
from oleanderweir_bench.platform.operator_routes import OperatorRoutes
from oleanderweir_bench.platform.published_state import PublishedState
from oleanderweir_bench.platform.read_meter import ReadMeter
from oleanderweir_bench.platform.stand_in_conditions import StandInConditions


if TYPE_CHECKING:
    from starlette.requests import Request


MAX_WATCH_S = 60
JSON_TYPE = "application/json"


@attrs.define(kw_only=True, eq=False)
class ConfigurationServiceStandIn:
    """
    Serves the protocol of ``docs/TICKETS.md`` from memory.

    ``application`` is an ASGI application. Paths below ``/v1`` are read-only, counted
    and rate-limited. Tests publish through paths below ``/operator``.
    """

    state: PublishedState = attrs.field(factory=PublishedState)
    meter: ReadMeter = attrs.field(factory=ReadMeter)
    conditions: StandInConditions = attrs.field(factory=StandInConditions)
    application: Starlette = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        operator = OperatorRoutes(
            state=self.state, meter=self.meter, conditions=self.conditions
        )
        self.application = Starlette(
            routes=[
                Route("/v1/snapshot", self.read_snapshot),
                Route("/v1/tickets", self.read_tickets),
                Route("/v1/instances", self.read_instances),
                *operator.routes(),
            ]
        )

    @property
    def visible_ticket(self) -> int:
        """The highest ticket that can currently be read."""
        highest = self.state.highest_ticket
        stale_at = self.conditions.stale_at
        return highest if stale_at is None else min(stale_at, highest)

    async def read_snapshot(self, request: Request) -> Response:
        """Return one part of the snapshot."""
        await self.admit(request)
        parts = self.state.snapshot_parts(self.visible_ticket)
        return message_response(parts[read_part(request, len(parts))])

    async def read_tickets(self, request: Request) -> Response:
        """Return the tickets above ``after``; wait for one up to ``wait_s`` seconds."""
        await self.admit(request)
        after = read_number(request, "after")
        wait_s = min(read_number(request, "wait_s"), MAX_WATCH_S)
        if wait_s > 0:
            await self.watch(after, wait_s)
        return message_response(
            encode_message(self.state.ticket_page(after, self.visible_ticket))
        )

    async def read_instances(self, request: Request) -> Response:
        """Return one part of the instance list."""
        await self.admit(request)
        zone = request.query_params.get("availability_zone")
        parts = self.state.instance_parts(zone)
        return message_response(parts[read_part(request, len(parts))])

    async def admit(self, request: Request) -> None:
        """Count a call; delay or reject it according to conditions and rate limit."""
        is_admitted = self.meter.admit(request.url.path)
        if self.conditions.delay_s > 0:
            await trio.sleep(self.conditions.delay_s)
        if self.conditions.is_down:
            raise HTTPException(503)
        if not is_admitted:
            raise HTTPException(429, headers={"Retry-After": "1"})

    async def watch(self, after: int, wait_s: float) -> None:
        """Wait until a ticket above ``after`` is visible, or for ``wait_s`` seconds."""
        with self.meter.count_watch(), trio.move_on_after(wait_s):
            while self.visible_ticket <= after:
                await self.state.changed.wait()
                if self.conditions.is_down:
                    raise HTTPException(503)


def read_number(request: Request, name: str) -> int:
    """Return a numeric query parameter, or 0 when it is absent."""
    text = request.query_params.get(name, "0")
    if not (text.isascii() and text.isdigit()):
        raise HTTPException(
            400, f"query parameter {name} must be a non-negative integer"
        )
    return int(text)


def read_part(request: Request, parts: int) -> int:
    """Return the query parameter ``part``, checked against the number of parts."""
    number = read_number(request, "part")
    if number >= parts:
        raise HTTPException(
            404, f"part {number} does not exist; there are {parts} parts"
        )
    return number


def message_response(body: bytes) -> Response:
    """Return a JSON response with an encoded message."""
    return Response(body, media_type=JSON_TYPE)
