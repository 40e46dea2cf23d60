"""Load balancing among the agents of one service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Collection

    from oleanderweir_agent.load.backend_chooser import BackendChooser
    from oleanderweir_agent.load.load_table import LoadTable


RELAY_COST_S = 0.005
MIN_SATURATED_WAIT_S = 0.01


@attrs.define(kw_only=True, eq=False)
class ServiceGroup:
    """
    Chooses the backend server for new sessions and offers within one service.

    ``own_name`` is the backend server of this agent. The table contains its reports
    too.
    """

    own_name: str
    table: LoadTable
    chooser: BackendChooser

    def choose_backend(self) -> str | None:
        """Return the backend server for a new session, or None if there is none."""
        candidates = self.table.candidates()
        if not candidates:
            return None
        entry = self.chooser.choose_for_session(candidates)
        entry.sessions += 1
        return entry.report.name

    def choose_peer(
        self,
        *,
        exclude: Collection[str] = (),
        is_long: bool = False,
        own_wait_s: float = math.inf,
    ) -> str | None:
        """
        Return the peer that a request is offered to, or None if there is none.

        ``own_wait_s`` is the expected wait at the local backend server, infinite if it
        rejected the request. A peer is returned only if its expected wait plus the
        cost of the relay is shorter.
        """
        excluded = {self.own_name, *exclude}
        candidates = self.table.candidates(exclude=excluded)
        if not candidates:
            return None
        entry = self.chooser.choose_for_offer(candidates, is_long=is_long)
        peer_wait_s = 0.0
        if not entry.free_slots(is_long=is_long):
            peer_wait_s = max(entry.expected_wait_s, MIN_SATURATED_WAIT_S)
        if peer_wait_s + RELAY_COST_S >= own_wait_s:
            return None
        entry.offers += 1
        return entry.report.name
