"""The HTTP interface for changing a running fabric."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cattrs
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.net import SocketAddress
from oleanderweir_bench.fabric.conditions import Conditions


if TYPE_CHECKING:
    from collections.abc import Sequence

    from starlette.requests import Request

    from oleanderweir_bench.fabric.fabric_stand_in import FabricStandIn


class ControlApplication:
    """
    Adds and removes balancers and sets the conditions of all fabrics of the process.

    A balancer is identified by its host. It receives the packets of each service on the
    port of the service address.
    """

    def __init__(self, *, fabrics: Sequence[FabricStandIn]) -> None:
        self.fabrics = fabrics
        self.converter = cattrs.Converter(forbid_extra_keys=True)
        self.asgi = Starlette(
            routes=[
                Route("/balancers", self.show_balancers, methods=["GET"]),
                Route("/balancers/{host}", self.add_balancer, methods=["PUT"]),
                Route("/balancers/{host}", self.remove_balancer, methods=["DELETE"]),
                Route("/conditions", self.set_conditions, methods=["PUT"]),
                Route("/counters", self.show_counters, methods=["GET"]),
            ]
        )

    async def show_balancers(self, request: Request) -> JSONResponse:
        """List the balancers of each service address."""
        del request
        return JSONResponse(
            {
                str(fabric.service_address): [
                    str(balancer) for balancer in fabric.balancers
                ]
                for fabric in self.fabrics
            }
        )

    async def add_balancer(self, request: Request) -> JSONResponse:
        """Start sending packets to a balancer."""
        try:
            for fabric in self.fabrics:
                fabric.add_balancer(parse_balancer(request, fabric))
        except OleanderweirError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        return JSONResponse({})

    async def remove_balancer(self, request: Request) -> JSONResponse:
        """Stop sending packets to a balancer."""
        try:
            for fabric in self.fabrics:
                fabric.remove_balancer(parse_balancer(request, fabric))
        except OleanderweirError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        return JSONResponse({})

    async def set_conditions(self, request: Request) -> JSONResponse:
        """Set the conditions of every service address."""
        try:
            conditions = self.converter.structure(await request.json(), Conditions)
        except (ValueError, AttributeError, cattrs.BaseValidationError) as error:
            return JSONResponse({"error": repr(error)}, status_code=400)
        for fabric in self.fabrics:
            fabric.conditions = conditions
        return JSONResponse({})

    async def show_counters(self, request: Request) -> JSONResponse:
        """Show the packet counts of each service address."""
        del request
        return JSONResponse(
            {
                str(fabric.service_address): attrs.asdict(fabric.counters)
                for fabric in self.fabrics
            }
        )


def parse_balancer(request: Request, fabric: FabricStandIn) -> SocketAddress:
    """Return the address of the balancer in the path for the service of ``fabric``."""
    host = request.path_params["host"]
    return SocketAddress.parse(f"{host}:{fabric.service_address.port}")
