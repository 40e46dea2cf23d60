"""The agents of one service, as one of them sees the others."""

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
    Where new sessions and offers of requests go within one service.

    ``own_name`` is the backend server of this agent; its own reports stand in the
    table as well.
    """

    own_name: str
    table: LoadTable
    chooser: BackendChooser

    def choose_backend(self) -> str | None:
        """Return the backend server of a new session, None if there is none."""
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
        Return the peer that a request is offered to, None if there is none.

        ``own_wait_s`` is the wait at the own backend server, infinite if it refuses.
        A peer is named only if the request waits less there, the way included.
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
