"""Whether anything listens at the backend server's address."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


logger = logging.getLogger(__name__)

# A live machine accepts or refuses a connection within a millisecond.
PROBE_TIMEOUT_S = 0.25


class BackendProbe:
    """Opens a connection to the backend server, and closes it without a request."""

    def __init__(self, *, address: SocketAddress) -> None:
        self.address = address

    async def probe(self) -> ProbeOutcome:
        """Return what a connection shows."""
        connection = trio.socket.socket()
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                await connection.connect(self.address.pair)
                return ProbeOutcome.ACCEPTED
        except ConnectionRefusedError:
            return ProbeOutcome.REFUSED
        except OSError as error:
            # Reset or unreachable; the next probe tells more.
            logger.info(
                "a probe of the backend server failed",
                extra={"code": "probe_failed", "reason": repr(error)},
            )
        finally:
            connection.close()
        return ProbeOutcome.SILENT
