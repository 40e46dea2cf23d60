"""An emulated caller that waits long for each answer."""

from __future__ import annotations

import trio

from oleanderweir_bench.packet_path.emulated_caller import MEAN_PAUSE_S
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller


# The time in which a site must serve again after a loss of power.
RECOVERY_S = 12.0
MAX_PAUSE_S = 4.0


class PatientCaller(EmulatedCaller):
    """
    Keeps sending on a flow until it is answered or reset, for up to ``RECOVERY_S``.

    After its first request, it pauses for up to ``MAX_PAUSE_S`` between requests.
    """

    request_timeout_s = RECOVERY_S

    async def run(self, until: float) -> None:
        """Send requests until ``until``, a time of trio's clock."""
        await trio.sleep(self.random_source.uniform(0.0, MEAN_PAUSE_S))
        while trio.current_time() < until:
            await self._request()
            await trio.sleep(self.random_source.uniform(0.0, MAX_PAUSE_S))
