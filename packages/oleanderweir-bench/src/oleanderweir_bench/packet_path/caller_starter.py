"""Starts the callers of a site."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller


if TYPE_CHECKING:
    from collections.abc import Callable

    import trio

    from oleanderweir.flows import FlowKey
    from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
    from oleanderweir_bench.packet_path.endpoint_codec import EndpointCodec
    from oleanderweir_bench.packet_path.network import Network
    from oleanderweir_bench.packet_path.site_result import SiteResult


class CallerStarter:
    """
    Starts callers that use the same network, router and result.

    Callers and balancers receive packets on the same port.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        random_source: random.Random,
        port: int,
        network: Network,
        router: EmulatedRouter,
        codec: EndpointCodec,
        result: SiteResult,
        holds_flow: Callable[[FlowKey], bool],
        on_false_reset: Callable[[FlowKey], None] = lambda _: None,
        is_judged: Callable[[FlowKey, str], bool] = lambda _, __: True,
        caller_type: type[EmulatedCaller] = EmulatedCaller,
    ) -> None:
        self.is_judged = is_judged
        self.caller_type = caller_type
        self.nursery = nursery
        self.random_source = random_source
        self.port = port
        self.network = network
        self.router = router
        self.codec = codec
        self.result = result
        self.holds_flow = holds_flow
        self.on_false_reset = on_false_reset

    def start(
        self,
        host: str,
        *,
        route: bytes,
        until: float = float("inf"),
        requests_per_flow: float = float("inf"),
    ) -> None:
        """Start a caller that sends requests until a time of trio's clock."""
        caller = self.caller_type(
            host=host,
            route=route,
            port=self.port,
            balancer_port=self.port,
            network=self.network,
            router=self.router,
            codec=self.codec,
            result=self.result,
            holds_flow=self.holds_flow,
            on_false_reset=self.on_false_reset,
            is_judged=self.is_judged,
            requests_per_flow=requests_per_flow,
            random_source=random.Random(self.random_source.random()),
        )
        self.nursery.start_soon(caller.run, until)
