"""An emulated caller that sends requests of many packets."""

from __future__ import annotations

from typing import Any

import trio

from oleanderweir_bench.packet_path.emulated_caller import FIRST_RETRANSMISSION_S
from oleanderweir_bench.packet_path.emulated_caller import MAX_RETRANSMISSION_S
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_codec import MAX_PAYLOAD_BYTES


MIN_FULL_PACKETS = 4
MAX_FULL_PACKETS = 40
# Payload of the last packet, which isn't full.
LAST_PACKET_BYTES = 300
WINDOW_BYTES = 16 * MAX_PAYLOAD_BYTES


class UploadingCaller(EmulatedCaller):
    """
    Sends requests of several packets, up to ``WINDOW_BYTES`` ahead of the answers.

    What isn't acknowledged in time is sent again. A response to a part of a request
    counts as altered.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.request_end = 0
        # The sequence number of the first byte that the backend server lacks.
        self.acknowledged = 0

    def on_datagram(self, source: str, data: bytes) -> None:
        """Receive a datagram."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None or packet.key != self.key or packet.is_reset:
            super().on_datagram(source, data)
            return
        if self._is_from_owner(packet):
            self.acknowledged = max(self.acknowledged, packet.acknowledged)
            if packet.payload_bytes and packet.acknowledged < self.request_end:
                # A copy of the response to an earlier request acknowledges less.
                self.result.altered += packet.acknowledged > self.sequence
                return
        super().on_datagram(source, data)

    async def _attempt(self) -> bool:
        if self.key is None and not await self._open():
            return False
        full_packets = self.random_source.randint(MIN_FULL_PACKETS, MAX_FULL_PACKETS)
        request_bytes = full_packets * MAX_PAYLOAD_BYTES + LAST_PACKET_BYTES
        self.request_end = self.sequence + request_bytes
        self.acknowledged = self.sequence
        self.is_answered = False
        wait_s = FIRST_RETRANSMISSION_S
        while not self.is_answered:
            if self._discard_reset_flow():
                return False
            before = self.acknowledged
            window_end = self._send_window()
            await self._wait_acknowledged(window_end, wait_s)
            wait_s = min(wait_s * 2, MAX_RETRANSMISSION_S)
            if self.acknowledged > before:
                wait_s = FIRST_RETRANSMISSION_S
        self._complete(request_bytes)
        return True

    def _send_window(self) -> int:
        """Send what the window allows; return the sequence number of its end."""
        request_start = self.sequence
        # If all has arrived, the last packet asks for the response again.
        start = min(self.acknowledged, self.request_end - LAST_PACKET_BYTES)
        window_end = min(start + WINDOW_BYTES, self.request_end)
        for sequence in range(start, window_end, MAX_PAYLOAD_BYTES):
            self.sequence = sequence
            payload_bytes = min(MAX_PAYLOAD_BYTES, self.request_end - sequence)
            self._send(payload_bytes=payload_bytes)
        self.sequence = request_start
        return window_end

    async def _wait_acknowledged(self, sequence: int, seconds: float) -> None:
        """Wait up to ``seconds`` for an acknowledgement, a response or a reset."""
        with trio.move_on_after(seconds):
            while not (self.is_answered or self.is_reset):
                if sequence <= self.acknowledged < self.request_end:
                    return
                await self.changed.wait()
