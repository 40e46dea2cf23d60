"""Sends new flows to agents, and to a second agent if the first doesn't answer."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir_balancer.metrics import UnhedgedReason
from oleanderweir_balancer.pending_flow import PendingFlow
from oleanderweir_balancer.pending_flow import PendingFlowKey


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.net import SocketAddress
    from oleanderweir_balancer.agent_selector import AgentSelector
    from oleanderweir_balancer.metrics import BalancerMetrics


HEDGE_DELAY_S = 0.1
MAX_PENDING_FLOWS = 4096


class FlowOpener:
    """
    Sends the first packet of a flow again after ``HEDGE_DELAY_S`` without an answer.

    The copy goes to another agent, so that a silent agent delays a flow only briefly.

    Two agents may answer one flow. The caller accepts one Retry and the first server
    that completes its handshake, so the flow still has a single owner.
    """

    def __init__(
        self,
        *,
        selector: AgentSelector,
        send: Callable[[bytes, SocketAddress], None],
        metrics: BalancerMetrics,
    ) -> None:
        self.selector = selector
        self.send = send
        self.metrics = metrics
        self.barrier = ErrorBarrier(place="hedge")
        self.pending: OrderedDict[PendingFlowKey, PendingFlow] = OrderedDict()
        self.flow_added = trio.Event()

    def open(
        self,
        *,
        key: PendingFlowKey,
        service: str,
        agent: SocketAddress,
        encoded_envelope: bytes,
    ) -> None:
        """Send a first packet to an agent, and buffer it for a hedge."""
        self.metrics.new_flows.inc()
        self.send(encoded_envelope, agent)
        if key in self.pending:
            return
        if len(self.pending) >= MAX_PENDING_FLOWS:
            self.metrics.unhedged[UnhedgedReason.TOO_MANY_PENDING].inc()
            return
        self.pending[key] = PendingFlow(
            key=key,
            service=service,
            agent=agent,
            encoded_envelope=encoded_envelope,
            hedge_at=trio.current_time() + HEDGE_DELAY_S,
        )
        self.flow_added.set()

    def on_answer(self, key: PendingFlowKey) -> None:
        """Remove a flow that an agent answered."""
        flow = self.pending.pop(key, None)
        if flow is not None:
            self.selector.record_answer(flow.agent)

    async def run(self) -> None:
        """Send hedges when they are due."""
        while True:
            if not self.pending:
                self.flow_added = trio.Event()
                await self.flow_added.wait()
                continue
            first = next(iter(self.pending.values()))
            await trio.sleep_until(first.hedge_at)
            with self.barrier:
                self._hedge_due_flows()

    def _hedge_due_flows(self) -> None:
        """Send the first packet of each due flow to another agent."""
        now = trio.current_time()
        while self.pending:
            key, flow = next(iter(self.pending.items()))
            if flow.hedge_at > now:
                return
            del self.pending[key]
            self._hedge(flow)

    def _hedge(self, flow: PendingFlow) -> None:
        """Send the first packet of one flow to another agent, if there is one."""
        self.selector.record_timeout(flow.agent)
        agent = self.selector.select(flow.service, excluding=flow.agent)
        if agent is None:
            self.metrics.unhedged[UnhedgedReason.NO_OTHER_AGENT].inc()
            return
        self.metrics.hedges.inc()
        self.send(flow.encoded_envelope, agent)
