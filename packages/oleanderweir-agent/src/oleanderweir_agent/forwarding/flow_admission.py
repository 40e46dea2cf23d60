"""Whether the backend server may take a new flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import BackendState
from oleanderweir.flows import route_address
from oleanderweir.peering.messages import ReturnReason


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey


class FlowAdmission:
    """
    The last check before a new flow reaches the backend server.

    It decides by this process's own newest state, so that a balancer with an older
    one sends nothing to a service that the route left, or to a backend server that
    drains. A balancer with a newer state is believed about routes.
    """

    def __init__(
        self, *, register: StateRegister, service: str, host: str, port: int
    ) -> None:
        self.register = register
        self.service = service
        self.host = host
        self.port = port
        self.record: BackendRecord | None = None
        # Since when there is no record, in trio's seconds.
        self.unpublished_since: float | None = None

    def update_record(self) -> BackendRecord | None:
        """Take in the newest record of the backend server beside this process."""
        records = [
            record
            for record in self.register.backends.values()
            if record.host == self.host and record.port == self.port
        ]
        # The record of an earlier start stays published for some seconds.
        had_record = self.record is not None
        self.record = max(
            records, key=lambda record: record.started_at_ms, default=None
        )
        if self.record is not None:
            self.unpublished_since = None
        elif had_record or self.unpublished_since is None:
            self.unpublished_since = trio.current_time()
        return self.record

    def is_unpublished(self, *, now: float) -> bool:
        """Whether the backend server has not been published for ``REMOVAL_GRACE_S``."""
        return (
            self.unpublished_since is not None
            and now - self.unpublished_since > REMOVAL_GRACE_S
        )

    def check(self, key: FlowKey, *, version: int) -> ReturnReason | None:
        """Return why a new flow may not come here, or nothing if it may."""
        record = self.record
        if record is not None and record.state is BackendState.DRAINING:
            return ReturnReason.DRAINING
        if not self.allows_route(key, version=version):
            return ReturnReason.NO_ROUTE
        return None

    def allows_route(self, key: FlowKey, *, version: int) -> bool:
        """Whether the route of a flow leads to this service, as far as known."""
        desired = self.register.desired
        if desired is None or desired.version < version:
            return True
        route = desired.routes.get(route_address(key))
        return route is not None and route.allows(self.service)
