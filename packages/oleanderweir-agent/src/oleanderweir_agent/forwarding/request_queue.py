"""
The order in which queued requests get the slots of a backend server.

After an outage and at peak load, more requests are queued than can be answered in time,
most of them sent again by callers that have waited for long. In first-in, first-out
order all of them would be late. Here the requests that can still be answered in time go
first, by priority and then by due time. Late ones follow, by priority and then with
those first whose callers will wait longest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir_agent.forwarding.queued_request import QueuedRequest


# Packets kept per request: a sender's whole window.
MAX_PACKETS = 16
# Bounds the memory; no backend server answers this many requests before they expire.
MAX_QUEUED = 512


class RequestQueue:
    """Queued requests by flow; each flow has at most one request at a time."""

    def __init__(self) -> None:
        self.requests: dict[FlowKey, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request: QueuedRequest) -> bool:
        """Queue a request; return False if the queue is full."""
        if len(self.requests) >= MAX_QUEUED:
            return False
        self.requests[request.key] = request
        return True

    def append(self, key: FlowKey, packet: bytes) -> bool:
        """
        Add a packet to the queued request of a flow; return False if there is none.

        Copies, and packets beyond ``MAX_PACKETS``, are discarded.
        """
        request = self.requests.get(key)
        if request is None:
            return False
        if packet not in request.packets and len(request.packets) < MAX_PACKETS:
            request.packets.append(packet)
        return True

    def remove(self, key: FlowKey) -> QueuedRequest | None:
        """Remove and return the request of a flow, if there is one."""
        return self.requests.pop(key, None)

    def pop_next(self, *, now: float, service_s: float) -> QueuedRequest | None:
        """
        Remove and return the request to start next; return ``None`` if none is queued.

        ``service_s`` is the expected service time of a request, in seconds.
        """
        if not self.requests:
            return None
        finished_at = now + service_s
        in_time = [
            request
            for request in self.requests.values()
            if request.due_at >= finished_at
        ]
        if in_time:
            chosen = min(
                in_time, key=lambda request: (request.priority, request.due_at)
            )
        else:
            chosen = max(
                self.requests.values(),
                key=lambda request: (-request.priority, request.expires_at),
            )
        return self.requests.pop(chosen.key)

    def pop_expired(self, *, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose callers have given up."""
        expired = [
            request for request in self.requests.values() if request.expires_at <= now
        ]
        for request in expired:
            del self.requests[request.key]
        return expired
