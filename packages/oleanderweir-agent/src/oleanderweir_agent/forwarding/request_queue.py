"""
The order in which waiting requests get the slots of a backend server.

Answers the load after an outage and at a crest: more requests wait than can be
answered in time, most of them sent again by callers who have waited for long. First
come, first served makes all of them late; here the ones that can still be in time go
first, by priority and by when their answer is wanted. Late ones follow, those whose
callers will wait longest first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir_agent.forwarding.queued_request import QueuedRequest


# Packets of one request that are kept: a sender's whole window.
MAX_PACKETS = 16
# Bounds the memory; more requests than any backend server answers in their time.
MAX_QUEUED = 512


class RequestQueue:
    """Requests by flow; a flow has one request in progress at a time."""

    def __init__(self) -> None:
        self.requests: dict[FlowKey, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request: QueuedRequest) -> bool:
        """Let a request wait; return whether there is room."""
        if len(self.requests) >= MAX_QUEUED:
            return False
        self.requests[request.key] = request
        return True

    def append(self, key: FlowKey, packet: bytes) -> bool:
        """Keep one more packet of a waiting request; return whether one waits."""
        request = self.requests.get(key)
        if request is None:
            return False
        if packet not in request.packets and len(request.packets) < MAX_PACKETS:
            request.packets.append(packet)
        return True

    def remove(self, key: FlowKey) -> QueuedRequest | None:
        """Take a request out, whatever its turn."""
        return self.requests.pop(key, None)

    def pop_next(self, *, now: float, service_s: float) -> QueuedRequest | None:
        """Take out the request whose turn it is; ``service_s`` is the time of one."""
        if not self.requests:
            return None
        finished_at = now + service_s
        in_time = [r for r in self.requests.values() if r.due_at >= finished_at]
        if in_time:
            chosen = min(in_time, key=lambda r: (r.priority, r.due_at))
        else:
            chosen = max(
                self.requests.values(), key=lambda r: (-r.priority, r.expires_at)
            )
        return self.requests.pop(chosen.key)

    def pop_expired(self, *, now: float) -> list[QueuedRequest]:
        """Take out the requests whose callers have given up."""
        expired = [r for r in self.requests.values() if r.expires_at <= now]
        for request in expired:
            del self.requests[request.key]
        return expired
