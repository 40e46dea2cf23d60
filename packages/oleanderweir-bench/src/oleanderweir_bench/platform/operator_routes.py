"""Operators' interface of the stand-in, used by tests to publish and inject faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cattrs
from starlette.responses import JSONResponse
from starlette.routing import Route

from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.configuration_service.messages import PublishedTicket
from oleanderweir.configuration_service.messages import decode_message
from oleanderweir.exceptions import OleanderweirError
from oleanderweir_bench.platform.stand_in_conditions import StandInConditions


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette.requests import Request
    from starlette.responses import Response

    from oleanderweir_bench.platform.published_state import PublishedState
    from oleanderweir_bench.platform.read_meter import ReadMeter


@attrs.frozen(kw_only=True)
class OperatorRoutes:
    """Publishes tickets, floors and instances, and sets fault conditions."""

    state: PublishedState
    meter: ReadMeter
    conditions: StandInConditions

    def routes(self) -> list[Route]:
        """Return the routes below ``/operator``."""
        return [
            Route("/operator/tickets", report_errors(self.publish), methods=["POST"]),
            Route(
                "/operator/floor", report_errors(self.declare_floor), methods=["POST"]
            ),
            Route(
                "/operator/instances",
                report_errors(self.replace_instances),
                methods=["PUT"],
            ),
            Route(
                "/operator/conditions",
                report_errors(self.set_conditions),
                methods=["PUT"],
            ),
            Route("/operator/counts", self.show_counts, methods=["GET"]),
        ]

    async def publish(self, request: Request) -> None:
        """Publish the ticket in the body; ``?number=N`` skips all checks."""
        text = (await request.body()).decode("utf-8", "replace")
        number = request.query_params.get("number")
        if number is None:
            self.state.publish(text)
        else:
            self.state.publish_unchecked(PublishedTicket(number=int(number), text=text))

    async def declare_floor(self, request: Request) -> None:
        """Declare the floor ``?floor=N``."""
        self.state.declare_floor(int(request.query_params["floor"]))

    async def replace_instances(self, request: Request) -> None:
        """Replace the instance list with the part in the body."""
        part = decode_message(await request.body(), InstanceListPart)
        self.state.replace_instances(part.instances)

    async def set_conditions(self, request: Request) -> None:
        """Replace the conditions with those in the body."""
        document = await request.json()
        conditions = cattrs.structure(document, StandInConditions)
        for field in attrs.fields(StandInConditions):
            setattr(self.conditions, field.name, getattr(conditions, field.name))
        self.state.notify()

    async def show_counts(self, _: Request) -> Response:
        """Return the counts of the meter."""
        return JSONResponse(attrs.asdict(self.meter))


def report_errors(
    operation: Callable[[Request], Awaitable[None]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return an endpoint that responds 201, or 409 with the error of the operation."""

    async def endpoint(request: Request) -> Response:
        try:
            await operation(request)
        except OleanderweirError as error:
            return JSONResponse(
                {"code": error.code, "message": error.message}, status_code=409
            )
        return JSONResponse({}, status_code=201)

    return endpoint
