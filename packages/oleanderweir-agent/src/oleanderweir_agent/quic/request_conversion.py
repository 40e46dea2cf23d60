"""Converts received requests to those that the request handler serves."""

from __future__ import annotations

import math
import uuid
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.requests import Request


if TYPE_CHECKING:
    from oleanderweir.configuration import Service
    from oleanderweir_agent.quic.incoming_request import IncomingRequest


TIMEOUT_HEADER = b"request-timeout-ms"
REQUEST_ID_HEADER = b"request-id"
MS_PER_S = 1000


def make_request(incoming: IncomingRequest, service: Service) -> Request:
    """Return the request that a caller of the service sent on a stream."""
    path = (incoming.first(b":path") or b"/").decode("latin-1")
    is_feed = path.startswith(service.feed_paths)
    request_id = incoming.first(REQUEST_ID_HEADER)
    return Request(
        request_id=request_id.decode("latin-1") if request_id else uuid.uuid4().hex,
        method=(incoming.first(b":method") or b"GET").decode("latin-1"),
        path=path,
        headers=incoming.headers,
        body=bytes(incoming.body),
        arrived_at=trio.current_time(),
        deadline=math.inf if is_feed else calculate_deadline(incoming, service),
        is_feed=is_feed,
    )


def calculate_deadline(incoming: IncomingRequest, service: Service) -> float:
    """Return the deadline of a request that arrives now, in trio's clock."""
    timeout_s = service.request_timeout_s
    text = incoming.first(TIMEOUT_HEADER)
    if text is not None and text.isdigit():
        timeout_s = min(timeout_s, int(text) / MS_PER_S)
    return trio.current_time() + timeout_s
