"""Starts and cancels drains according to tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir_agent.drain.drain_state import DrainState


class DrainWatcher:
    """
    Watches the tickets for the local backend server.

    A ticket that removes the backend server also starts a drain. Its sessions were
    opened under the last configured drain period, so that period applies.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationView,
        find_entry: Callable[[], BackendServer | None],
        state: DrainState,
    ) -> None:
        self.configuration = configuration
        self.find_entry = find_entry
        self.state = state
        self.drain_period_s = 0.0

    async def run(self) -> None:
        """Apply the ticket in force after each change, until cancelled."""
        while True:
            self.apply()
            await self.configuration.wait_changed()

    def apply(self) -> None:
        """Start or cancel the drain according to the ticket in force."""
        entry = self.find_entry()
        if entry is not None:
            self.drain_period_s = entry.drain_period_s
        if entry is None or entry.is_draining:
            self.state.begin(drain_period_s=self.drain_period_s)
        else:
            self.state.cancel()
