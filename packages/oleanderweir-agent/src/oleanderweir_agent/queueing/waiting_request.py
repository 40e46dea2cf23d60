"""A request in the queue."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.permit import Permit
    from oleanderweir_agent.queueing.work_request import WorkRequest
    from oleanderweir_agent.verdicts import RequestRejectedError


@attrs.define(kw_only=True, eq=False)
class WaitingRequest:
    """
    A request that waits for a slot.

    Times are trio times; ``latest_start`` is the last moment at which a start still
    makes sense, ``queue_timeout_at`` the one at which it comes back to be tried
    elsewhere. ``rank`` orders the queue, lowest first.
    """

    request: WorkRequest
    expected_s: float
    is_long: bool
    arrived_at: float
    latest_start: float
    queue_timeout_at: float = math.inf
    rank: float = 0.0
    permit: Permit | None = None
    rejection: RequestRejectedError | None = None
    decided: trio.Event = attrs.field(factory=trio.Event)
