"""Opens short sessions while the deployment changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.callers import CallerError


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir_bench.callers import Http3Caller


OPEN_INTERVAL_S = 0.25
OK_STATUS = 200


class SessionOpener:
    """
    Opens sessions at a steady rate; each one fetches the bulletin and closes.

    ``attempts`` counts the sessions that have closed or failed, ``failures`` those that
    did not get the bulletin. ``handshake_times_s`` holds the durations of the completed
    handshakes, in seconds.
    """

    def __init__(self, *, create_caller: Callable[[], Http3Caller]) -> None:
        self.create_caller = create_caller
        self.attempts = 0
        self.failures = 0
        self.handshake_times_s: list[float] = []

    async def run(self) -> None:
        """Open sessions until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.open)
                await trio.sleep(OPEN_INTERVAL_S)

    async def open(self) -> None:
        """Open one session and fetch the bulletin."""
        status = 0
        try:
            async with self.create_caller() as caller:
                self.handshake_times_s.append(caller.handshake_s)
                status = (await caller.request("GET", "/bulletin")).status
        except CallerError:
            status = 0
        self.attempts += 1
        self.failures += status != OK_STATUS
