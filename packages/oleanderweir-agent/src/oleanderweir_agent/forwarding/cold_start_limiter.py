"""The rate limit of new flows while the backend server is in its cold start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir_agent.forwarding.opening_window import OpeningWindow


if TYPE_CHECKING:
    from oleanderweir.desired_state import ColdStartLimit
    from oleanderweir.desired_state import StateRegister
    from oleanderweir_agent.forwarding.cold_period import ColdPeriod
    from oleanderweir_agent.forwarding.cold_start_tolerance import ColdStartTolerance


logger = logging.getLogger(__name__)


class ColdStartLimiter:
    """
    Limits the opening packets that a cold backend server gets within any second.

    All of them pass its agent, so the agent alone can hold the limit over all
    balancers. An opening packet that could go elsewhere is admitted up to the rate that
    the backend server bears, one that no other backend server takes up to the maximum.

    Without ``tolerance``, or without a configured limit of ``service``, there is none.
    """

    def __init__(
        self,
        *,
        register: StateRegister,
        service: str,
        tolerance: ColdStartTolerance | None,
        period: ColdPeriod,
    ) -> None:
        self.register = register
        self.service = service
        self.tolerance = tolerance
        self.period = period
        self.window = OpeningWindow()
        # Whether the backend server was in a limited cold start at the last update.
        self.is_cold = False

    @property
    def limit(self) -> ColdStartLimit | None:
        """The configured limit, if one is to be held."""
        desired = self.register.desired
        if self.tolerance is None or desired is None:
            return None
        return desired.cold_start_limits.get(self.service)

    def update(self, *, now: float) -> None:
        """Apply what is known now; log when a limited cold start begins or ends."""
        self.window.on_run(now=now)
        self.period.update(now=now)
        is_cold = self._is_cold(now)
        if is_cold != self.is_cold:
            self.is_cold = is_cold
            logger.info(
                "cold start of the backend server began or ended",
                extra={"code": "cold_start", "is_cold": is_cold},
            )

    def on_opening(self, *, now: float) -> None:
        """Count an opening packet that is forwarded to the backend server."""
        if self.tolerance is not None:
            self.window.add(now=now)

    def admits(self, *, is_last_resort: bool, now: float) -> bool:
        """
        Whether another opening packet may be forwarded now.

        ``is_last_resort`` tells that its balancer found no other backend server.
        """
        self.update(now=now)
        limit = self.limit
        if limit is None or self.tolerance is None or not self.is_cold:
            return True
        if not self.window.is_complete(now=now):
            return False
        openings = self.tolerance.target_openings(limit)
        if is_last_resort:
            openings = self.tolerance.max_openings(limit)
        return self.window.count(now=now) < openings

    def _is_cold(self, now: float) -> bool:
        """Whether the backend server counts as cold and has a limit."""
        limit = self.limit
        if limit is None:
            return False
        return now < self.period.ends_at(duration_s=limit.duration_s)
