"""An emulated caller that sends requests over flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path.packet_header import PacketHeader


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
    from oleanderweir_bench.packet_path.endpoint_codec import EndpointCodec
    from oleanderweir_bench.packet_path.network import Network
    from oleanderweir_bench.packet_path.site_result import SiteResult


REQUEST_BYTES = 900
# Times at which an opening packet is sent, and the time limit for opening a flow.
OPENING_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
TARGET_LATENCY_S = 0.25
REQUEST_TIMEOUT_S = 2.0
MEAN_PAUSE_S = 0.5


class EmulatedCaller:
    """
    Keeps a flow open for ``requests_per_flow`` and sends a request after each pause.

    When a flow is reset, the caller opens another one within the request's timeout. It
    calls ``on_false_reset`` for a reset of a flow that a backend server holds, unless
    ``is_judged`` exempts it, by the flow and the sender of the reset.
    """

    request_timeout_s = REQUEST_TIMEOUT_S

    def __init__(
        self,
        *,
        host: str,
        route: bytes,
        port: int,
        balancer_port: int,
        network: Network,
        router: EmulatedRouter,
        codec: EndpointCodec,
        result: SiteResult,
        holds_flow: Callable[[FlowKey], bool],
        random_source: random.Random,
        on_false_reset: Callable[[FlowKey], None] = lambda _: None,
        is_judged: Callable[[FlowKey, str], bool] = lambda _, __: True,
        requests_per_flow: float = float("inf"),
    ) -> None:
        self.is_judged = is_judged
        self.host = host
        self.route = route
        self.balancer_port = balancer_port
        self.network = network
        self.router = router
        self.codec = codec
        self.result = result
        self.holds_flow = holds_flow
        self.on_false_reset = on_false_reset
        self.random_source = random_source
        self.requests_per_flow = requests_per_flow
        self.requests_on_flow = 0
        self.caller_port = 1024
        self.key: FlowKey | None = None
        self.sequence = 0
        self.server_sequence: int | None = None
        self.is_reset = False
        self.is_answered = False
        self.changed = trio.Event()
        network.listen((host, port), self.on_datagram)

    def on_datagram(self, source: str, data: bytes) -> None:
        """Receive a datagram."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None or packet.key != self.key:
            return
        self.result.altered += not (packet.is_reset or self.codec.is_intact(packet))
        if packet.is_reset:
            self._record_reset(source)
        elif packet.is_opening and self.server_sequence is None:
            self.server_sequence = packet.sequence
        elif packet.payload_bytes and self._is_from_owner(packet):
            self.is_answered = True
        self._wake()

    async def run(self, until: float) -> None:
        """Send requests until ``until``, a time of trio's clock."""
        await trio.sleep(self.random_source.uniform(0, MEAN_PAUSE_S))
        while trio.current_time() < until:
            await self._request()
            await trio.sleep(self.random_source.uniform(0.5, 1.5) * MEAN_PAUSE_S)

    async def _request(self) -> None:
        started_at = trio.current_time()
        with trio.move_on_after(self.request_timeout_s):
            while not await self._attempt():
                pass
            took_s = trio.current_time() - started_at
            if took_s <= TARGET_LATENCY_S:
                self.result.in_time += 1
            else:
                self.result.late += 1
            return
        self.result.failed += 1
        self.key = None

    async def _attempt(self) -> bool:
        """Send the request on the open or a new flow; return whether it completed."""
        if self.key is None and not await self._open():
            return False
        self.is_answered = False
        wait_s = FIRST_RETRANSMISSION_S
        while not self.is_answered:
            if self._discard_reset_flow():
                return False
            self._send(payload_bytes=REQUEST_BYTES)
            await self._wait(wait_s)
            wait_s = min(wait_s * 2, MAX_RETRANSMISSION_S)
        self._complete(REQUEST_BYTES)
        return True

    def _complete(self, request_bytes: int) -> None:
        """Acknowledge the response to a request, or close the flow after the last."""
        self.sequence += request_bytes
        self.requests_on_flow += 1
        if self.requests_on_flow < self.requests_per_flow:
            self._send()
        else:
            self._close()

    def _next_port(self) -> int:
        """Return the port of the next flow."""
        self.caller_port += 1
        return self.caller_port

    def _close(self) -> None:
        """Close the flow after its last response."""
        self._send(is_final=True)
        self.key = None

    async def _open(self) -> bool:
        """Open a flow; return whether it succeeded."""
        packed = bytes(int(part) for part in self.host.split("."))
        caller = packed + self._next_port().to_bytes(2, "big")
        self.key = make_flow_key(caller=caller, route=self.route)
        self.sequence = self.random_source.randrange(1 << 30)
        self.server_sequence = None
        self.is_reset = False
        self.is_answered = False
        self.requests_on_flow = 0
        started_at = trio.current_time()
        wait_ends = [*OPENING_TIMES_S[1:], OPENING_TIMEOUT_S]
        for retransmissions, end_s in enumerate(wait_ends):
            self._send(is_opening=True, retransmissions=retransmissions)
            while self._is_opening() and trio.current_time() < started_at + end_s:
                await self._wait(max(0, started_at + end_s - trio.current_time()))
            if not self._is_opening():
                break
        if not self._is_open():
            self.key = None
            return False
        self.sequence += 1
        self._send()
        return True

    def _discard_reset_flow(self) -> bool:
        """
        Discard the flow if it was reset, so that the next attempt opens another one.

        Return whether it was reset.
        """
        if self.is_reset:
            self.key = None
        return self.is_reset

    def _is_open(self) -> bool:
        return self.server_sequence is not None

    def _is_opening(self) -> bool:
        return self.server_sequence is None and not self.is_reset

    def _is_from_owner(self, packet: Packet) -> bool:
        """Whether the backend server that accepted the opening sent a packet."""
        return packet.sequence == self.server_sequence

    def _record_reset(self, source: str) -> None:
        self.is_reset = True
        if self.key is not None:
            self.record_false_reset(self.key, self.server_sequence, source)

    def record_false_reset(
        self, key: FlowKey, server_sequence: int | None, source: str
    ) -> None:
        """Count a reset from a host if a backend server holds the open flow."""
        if server_sequence is None or not self.holds_flow(key):
            return
        if self.is_judged(key, source):
            self.result.false_resets += 1
            self.on_false_reset(key)

    def _send(
        self,
        *,
        is_opening: bool = False,
        is_final: bool = False,
        retransmissions: int = 0,
        payload_bytes: int = 0,
    ) -> None:
        if self.key is None:
            return
        balancer = self.router.choose(self.key)
        if balancer is None:
            return
        data = self._encode(
            is_opening=is_opening,
            is_final=is_final,
            retransmissions=retransmissions,
            payload_bytes=payload_bytes,
        )
        self.network.send(self.host, data, (balancer, self.balancer_port))

    def _encode(
        self,
        *,
        is_opening: bool = False,
        is_final: bool = False,
        retransmissions: int = 0,
        payload_bytes: int = 0,
    ) -> bytes:
        """Return the next packet of the flow."""
        if self.key is None:
            raise ValueError("no flow is open or being opened")
        return self.codec.encode(
            self.key,
            PacketHeader(
                is_opening=is_opening,
                is_acknowledging=not is_opening,
                is_final=is_final,
                sequence=self.sequence,
                # Opening packets carry the number of their retransmissions here.
                acknowledged=retransmissions
                if is_opening
                else (self.server_sequence or 0) + 1,
                payload_bytes=payload_bytes,
            ),
            is_from_caller=True,
        )

    async def _wait(self, seconds: float) -> None:
        """Wait up to ``seconds`` for an opening packet, a response or a reset."""
        with trio.move_on_after(seconds):
            while not (self.is_answered or self.is_reset):
                before = self.server_sequence
                await self.changed.wait()
                if self.server_sequence != before:
                    return

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
