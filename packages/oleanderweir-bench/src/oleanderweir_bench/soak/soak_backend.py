"""A backend server of a soak and its agent."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import BackendRecord
from oleanderweir.desired_state import BackendState


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path import EmulatedBackendServer
    from oleanderweir_bench.soak.soak_process import SoakProcess
    from oleanderweir_standins import StoreStandIn


@attrs.define(kw_only=True, eq=False)
class SoakBackend:
    """
    A backend server of a soak and its agent.

    ``identifier`` stays the same after a crash and changes with each planned
    replacement. ``drained_at`` is the time at which the server announced that it
    drains, in seconds of trio's clock. After a start, the server is cold for
    ``cold_start_s``, until ``cold_until``.
    """

    server: EmulatedBackendServer
    agent: SoakProcess
    store: StoreStandIn
    identifier: str
    started_at_ms: int = 0
    replacements: int = 0
    drained_at: float | None = None
    zone: str = "a"
    cold_start_s: float = 0.0
    cold_until: float = float("-inf")
    is_running: bool = True
    # Whether a running fault crashes or replaces this backend server.
    is_reserved: bool = False

    def publish(self, state: BackendState = BackendState.READY) -> None:
        """Write the entry of the current incarnation to the store."""
        self.started_at_ms = self.started_at_ms or int(time.time() * 1000)
        self.store.write_backend_server(
            BackendRecord(
                identifier=self.identifier,
                service=self.server.service,
                host=self.server.host,
                port=self.server.port,
                availability_zone=self.zone,
                slots=self.server.slots,
                state=state,
                cold_remaining_s=max(0.0, self.cold_until - trio.current_time()),
                started_at_ms=self.started_at_ms,
                # The stand-in of the store counts the writes itself.
                sequence=0,
            )
        )

    def expire_lease(self) -> None:
        """Remove the entry from the store, unless the server has been restarted."""
        if not self.is_running:
            self.store.remove_backend_server(self.identifier)

    def crash(self) -> None:
        """Stop without notice and lose all flows."""
        self.is_running = False
        self.server.stop()
        self.store.stop_backend_server(self.identifier)

    def restart(self) -> None:
        """Start without flows under the same identifier."""
        self.is_running = True
        self.started_at_ms = 0
        self.drained_at = None
        self.cold_until = trio.current_time() + self.cold_start_s
        self.server.start()
        self.publish()

    def replace(self) -> None:
        """Start under a new identifier at the same address."""
        self.replacements += 1
        self.identifier = f"{self.server.host}-{self.replacements}"
        self.restart()
