"""Watches the datagrams of lookups, and the flows that are looked up in vain."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir_bench.packet_path.lost_flow import LostFlow
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import PEER_PORT
from oleanderweir_bench.packet_path.site_settings import TICK_S


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.peering.messages import Message
    from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


# Purposes for which an agent is asked whether its backend server holds a flow.
QUERIES = frozenset({DeliveryPurpose.QUERY, DeliveryPurpose.TABLE_QUERY})


class LookupWatch:
    """
    Counts the datagrams between processes, by kind, once flows have been lost.

    A packet of a caller is counted by its purpose or by the reason of its return, and
    any other message by its type.
    """

    def __init__(self, *, network: VirtualNetwork, codec: EmulatedPacketCodec) -> None:
        self.network = network
        self.codec = codec
        self.lost: dict[FlowKey, LostFlow] = {}
        self.datagrams: Counter[str] = Counter()
        self.datagram_bytes: Counter[str] = Counter()

    def start(self, lost: set[FlowKey]) -> None:
        """Count from now on, after the loss of some open flows."""
        self.lost = {key: LostFlow() for key in lost}
        self.network.on_send = self.on_send

    def find_looked_up(self) -> list[LostFlow]:
        """Return the lost flows whose callers went on sending."""
        return [f for f in self.lost.values() if f.first_packet_at is not None]

    async def wait_until_reset(self) -> None:
        """Wait until each of these flows has been reset."""
        while any(flow.reset_at is None for flow in self.find_looked_up()):
            await trio.sleep(TICK_S)

    def on_send(self, source: str, data: bytes, address: tuple[str, int]) -> None:
        """Record a datagram that is sent."""
        del source
        if address[1] == PEER_PORT:
            self._on_message(decode_message(data), size=len(data))
        elif address[1] == CALLER_PORT:
            self._on_caller_traffic(data, address)

    def _on_message(self, message: Message, *, size: int) -> None:
        kind = type(message).__name__
        if isinstance(message, Delivery):
            kind = message.purpose.name
        elif isinstance(message, ReturnedPacket):
            kind = message.reason.name
        self.datagrams[kind] += 1
        self.datagram_bytes[kind] += size
        if isinstance(message, Delivery) and message.purpose in QUERIES:
            self._on_query(message)

    def _on_query(self, message: Delivery) -> None:
        packet = self.codec.decode_from_caller(message.data)
        flow = None if packet is None else self.lost.get(packet.key)
        if flow is not None:
            flow.queries += 1

    def _on_caller_traffic(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a packet from a caller to a balancer, or a reset to a caller."""
        packet = self.codec.decode_from_caller(data)
        flow = None if packet is None else self.lost.get(packet.key)
        if packet is None or flow is None or not self.network.is_bound(address):
            return
        now = trio.current_time()
        if packet.is_reset:
            flow.reset_at = flow.reset_at or now
        else:
            flow.first_packet_at = flow.first_packet_at or now
