"""
The order in which packets are sent while the link of the balancer is saturated.

It is for this load: a few callers upload so much through a balancer on a slow link that
the short requests of all others wait behind their packets. A caller sends a window of
full packets at once, and sends them again if they are late. Here full packets wait, and
all others overtake them: openings, acknowledgements, and requests of one packet.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet


# The share of the link that forwarded packets use; control messages need the rest.
LINK_SHARE = 0.9
# Sent at once after an idle time, in seconds of the link's rate.
BURST_S = 0.01
# At least two packets, so that a slow link can send any.
MIN_BURST_BYTES = 3000
# What a datagram takes on the link besides its own bytes.
OVERHEAD_BYTES = 28
# A caller has sent a packet again after this time, and other balancers may have it.
MAX_WAIT_S = 0.4
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


@attrs.frozen(kw_only=True, eq=False)
class QueuedPacket:
    """
    A caller's packet in the datagram ``data`` for the agent at ``host``.

    ``queued_at`` is in seconds of trio's clock.
    """

    packet: Packet
    host: str
    data: bytes
    queued_at: float


class SendQueue:
    """
    A token bucket of the link's rate, with a queue for packets of large requests.

    Packets of a flow stay in order. A copy of a queued packet is dropped, and so is one
    that has waited for ``MAX_WAIT_S``. ``link_mbps`` is in megabits a second.
    """

    def __init__(self, *, link_mbps: float) -> None:
        self.rate_bytes_per_s = link_mbps * BITS_PER_MBIT / BITS_PER_BYTE * LINK_SHARE
        self.burst_bytes = max(self.rate_bytes_per_s * BURST_S, MIN_BURST_BYTES)
        self.token_bytes = self.burst_bytes
        self.updated_at = float("-inf")
        self.waiting: deque[QueuedPacket] = deque()
        self.waiting_data: set[bytes] = set()
        # Queued packets by flow.
        self.counts: Counter[FlowKey] = Counter()
        self.filled = trio.Event()

    def __len__(self) -> int:
        return len(self.waiting)

    async def wait_for_any(self) -> None:
        """Wait until at least one packet is queued."""
        if not self.waiting:
            self.filled = trio.Event()
            await self.filled.wait()

    def offer(self, host: str, packet: Packet, data: bytes, *, now: float) -> bool:
        """Return whether a datagram is to be sent at once; queue or drop it if not."""
        self._refill(now)
        if not self._must_wait(packet, data):
            self._spend(data)
            return True
        if packet.data not in self.waiting_data:
            self._add(QueuedPacket(packet=packet, host=host, data=data, queued_at=now))
        return False

    def pop_due(self, *, now: float) -> list[QueuedPacket]:
        """Remove and return the packets that the link can take now, in order."""
        self._refill(now)
        due = []
        while self.waiting and self.token_bytes >= len(self.waiting[0].data):
            due.append(self._pop_first())
            self._spend(due[-1].data)
        return due

    def pop_late(self, *, now: float) -> list[QueuedPacket]:
        """Remove and return the packets that have waited for too long."""
        late = []
        while self.waiting and now - self.waiting[0].queued_at > MAX_WAIT_S:
            late.append(self._pop_first())
        return late

    def _must_wait(self, packet: Packet, data: bytes) -> bool:
        """Whether a packet is one of a large request, and the link is saturated."""
        if packet.key in self.counts:
            return True
        return packet.is_full and (bool(self.waiting) or self.token_bytes < len(data))

    def _add(self, queued: QueuedPacket) -> None:
        self.waiting.append(queued)
        self.waiting_data.add(queued.packet.data)
        self.counts[queued.packet.key] += 1
        self.filled.set()

    def _pop_first(self) -> QueuedPacket:
        first = self.waiting.popleft()
        self.waiting_data.discard(first.packet.data)
        self.counts[first.packet.key] -= 1
        if not self.counts[first.packet.key]:
            del self.counts[first.packet.key]
        return first

    def _refill(self, now: float) -> None:
        passed_s = max(0.0, now - self.updated_at)
        self.token_bytes = min(
            self.burst_bytes, self.token_bytes + passed_s * self.rate_bytes_per_s
        )
        self.updated_at = now

    def _spend(self, data: bytes) -> None:
        """Use up tokens, below zero for packets that don't wait: these count too."""
        tokens = self.token_bytes - len(data) - OVERHEAD_BYTES
        self.token_bytes = max(-self.burst_bytes, tokens)
