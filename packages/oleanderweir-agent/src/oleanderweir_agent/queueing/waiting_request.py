"""A request queued for a slot."""

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
    A request queued for a slot.

    Times are trio times. After ``latest_start`` the request is unlikely to meet its
    deadline and is rejected. At ``queue_timeout_at`` it is rejected so that it can be
    tried elsewhere. ``rank`` orders the queue, lowest first. ``decided`` is set once
    either ``permit`` or ``rejection`` is.
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
