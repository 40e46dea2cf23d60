"""Admission of new flows to the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import BackendState
from oleanderweir.flows import route_address
from oleanderweir.peering.messages import ReturnReason
from oleanderweir_agent.forwarding.state_proof import FixedProof


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir_agent.forwarding.state_proof import StateProof


class FlowAdmission:
    """
    Decides whether an opening packet may be forwarded to the backend server.

    The decision uses the agent's own state only. The choice of a balancer proves
    nothing, even if its state is newer: it may have chosen the address for another
    service, whose backend server is gone and still published. The agent itself may have
    stood still, and a backend server of another service uses the address since.
    """

    def __init__(
        self,
        *,
        register: StateRegister,
        service: str,
        host: str,
        port: int,
        availability_zone: str,
        proof: StateProof | None = None,
    ) -> None:
        self.register = register
        self.service = service
        self.host = host
        self.port = port
        # That of the agent, where its backend server runs too.
        self.availability_zone = availability_zone
        self.proof = proof or FixedProof()
        self.record: BackendRecord | None = None
        # The last one that was published, kept after its removal.
        self.last_record: BackendRecord | None = None
        # Since when the published backend servers have had no record of this one, in
        # seconds of trio's clock.
        self.unpublished_since: float | None = None

    def update_record(self) -> BackendRecord | None:
        """Set ``record`` to that of the backend server, and return it."""
        had_record = self.record is not None
        self.record = self.register.backend_at(self.host, self.port)
        self.last_record = self.record or self.last_record
        if self.record is not None or self.register.listed_at is None:
            self.unpublished_since = None
        elif had_record or self.unpublished_since is None:
            self.unpublished_since = trio.current_time()
        return self.record

    def is_unpublished(self, *, now: float) -> bool:
        """Whether the backend server has had no record for ``REMOVAL_GRACE_S``."""
        return (
            self.unpublished_since is not None
            and now - self.unpublished_since > REMOVAL_GRACE_S
        )

    @property
    def is_evacuated(self) -> bool:
        """Whether the zone of the backend server is evacuated, by the agent's state."""
        record = self.record
        zone = self.availability_zone if record is None else record.availability_zone
        return self.register.is_evacuated(zone)

    def can_decide(self, key: FlowKey, *, version: int) -> bool:
        """
        Whether the agent's own state is enough to decide about a new flow.

        It is not before the agent has both topics, nor after a standstill until its
        state is proved anew, nor while it lacks the desired state ``version`` that a
        balancer has, unless the one in force allows the flow.
        """
        desired = self.register.desired
        if desired is None or self.register.listed_at is None or self.proof.is_stale:
            return False
        return desired.version >= version or self.allows_route(key)

    def check(self, key: FlowKey) -> ReturnReason | None:
        """Return the reason to reject a new flow, or None if it is admitted."""
        record = self.record
        if record is not None and record.service != self.service:
            return ReturnReason.NO_ROUTE
        if record is not None and record.state is BackendState.DRAINING:
            return ReturnReason.DRAINING
        if self.is_evacuated:
            return ReturnReason.EVACUATED
        if not self.allows_route(key):
            return ReturnReason.NO_ROUTE
        return None

    def allows_route(self, key: FlowKey) -> bool:
        """Whether the route of a flow leads to this service, by the agent's state."""
        desired = self.register.desired
        if desired is None:
            return False
        route = desired.routes.get(route_address(key))
        return route is not None and route.allows(self.service)

    def may_allow_route(self, key: FlowKey, *, version: int) -> bool:
        """Whether the route may lead to this service by a state up to ``version``."""
        desired = self.register.desired
        if desired is None or desired.version < version:
            return True
        return self.allows_route(key)
