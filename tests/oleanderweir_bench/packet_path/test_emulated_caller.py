from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path import EmulatedCaller
from oleanderweir_bench.packet_path import EmulatedPacketCodec
from oleanderweir_bench.packet_path import EmulatedRouter
from oleanderweir_bench.packet_path import SiteResult
from oleanderweir_bench.packet_path import VirtualNetwork
from oleanderweir_bench.packet_path import encode_packet


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


HOST = "100.64.0.1"
BACKEND_HOST = "10.3.0.1"
ROUTE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
CALLER = bytes([100, 64, 0, 1]) + (1025).to_bytes(2, "big")
KEY = make_flow_key(caller=CALLER, route=ROUTE)


async def reset_flow(*, is_held: bool, is_open: bool) -> tuple[int, list[FlowKey]]:
    """Reset a caller's flow; return the counted and the reported false resets."""
    reported: list[FlowKey] = []
    async with trio.open_nursery() as nursery:
        caller = EmulatedCaller(
            host=HOST,
            route=ROUTE,
            port=8172,
            balancer_port=8172,
            network=VirtualNetwork(nursery=nursery, random_source=random.Random(1)),
            router=EmulatedRouter(),
            codec=EmulatedPacketCodec(),
            result=SiteResult(),
            holds_flow=lambda _: is_held,
            on_false_reset=reported.append,
            random_source=random.Random(1),
        )
        caller.key = KEY
        caller.server_sequence = 1 if is_open else None
        caller.on_datagram(BACKEND_HOST, encode_packet(KEY, is_reset=True))
        assert caller.is_reset
    return caller.result.false_resets, reported


async def test_a_reset_of_a_held_flow_is_counted_and_reported() -> None:
    assert await reset_flow(is_held=True, is_open=True) == (1, [KEY])


async def test_a_reset_of_a_lost_flow_is_neither_counted_nor_reported() -> None:
    assert await reset_flow(is_held=False, is_open=True) == (0, [])


async def test_a_reset_of_a_flow_that_is_not_open_is_not_counted() -> None:
    assert await reset_flow(is_held=True, is_open=False) == (0, [])
