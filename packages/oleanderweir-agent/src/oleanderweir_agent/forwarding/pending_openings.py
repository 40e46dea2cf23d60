"""Flows whose opening packet the backend server has not answered yet."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir_agent.forwarding.flow_table import HeldFlow


# An opening packet that the backend server has not answered for this long is returned
# to the balancer, which places the flow elsewhere.
OPENING_TIMEOUT_S = 0.06


class PendingOpenings:
    """
    Tracks opening packets until they are answered or returned.

    The length is the number of pending ones.
    """

    def __init__(self) -> None:
        self.flows: dict[FlowKey, HeldFlow] = {}

    def __len__(self) -> int:
        return len(self.flows)

    def add(self, flow: HeldFlow) -> None:
        """Track the opening packet of a flow, sent to the backend server now."""
        flow.is_overdue = False
        self.flows[flow.key] = flow

    def discard(self, key: FlowKey) -> None:
        """Stop tracking a flow."""
        self.flows.pop(key, None)

    def pop_overdue(self, *, now: float) -> list[HeldFlow]:
        """
        Remove and return the flows that were overdue at the previous call already.

        After a pause of this process, however short, the answer may be waiting unread
        in its socket; it is read between two calls.
        """
        overdue = [flow for flow in self._pop_answered() if flow.is_overdue]
        for flow in overdue:
            self.discard(flow.key)
        for flow in self.flows.values():
            flow.is_overdue = now - flow.opened_at >= OPENING_TIMEOUT_S
        return overdue

    def pop_sent_before(self, moment: float) -> list[HeldFlow]:
        """Remove and return the flows whose opening packet was sent by ``moment``."""
        sent = [flow for flow in self._pop_answered() if flow.opened_at <= moment]
        for flow in sent:
            self.discard(flow.key)
        return sent

    def _pop_answered(self) -> list[HeldFlow]:
        """Stop tracking answered opening packets; return the flows of the others."""
        self.flows = {
            key: flow
            for key, flow in self.flows.items()
            if flow.opening is not None and not flow.is_answered
        }
        return list(self.flows.values())
