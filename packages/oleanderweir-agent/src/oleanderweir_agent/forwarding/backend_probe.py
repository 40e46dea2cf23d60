"""Probe of the backend server's listening socket."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


logger = logging.getLogger(__name__)

# A running machine accepts or refuses a connection within a millisecond.
PROBE_TIMEOUT_S = 0.25


class BackendProbe:
    """Connects to the backend server and closes the connection without a request."""

    def __init__(self, *, address: SocketAddress) -> None:
        self.address = address

    async def probe(self) -> ProbeOutcome:
        """Try to connect, and return the outcome; log any error but a refusal."""
        connection = trio.socket.socket()
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                await connection.connect(self.address.sockaddr)
                return ProbeOutcome.ACCEPTED
        except ConnectionRefusedError:
            return ProbeOutcome.REFUSED
        except OSError as error:
            # Reset or unreachable: inconclusive, the next probe may not be.
            logger.info(
                "probe of the backend server failed; trying again later",
                extra={"code": "probe_failed", "reason": repr(error)},
            )
        finally:
            connection.close()
        return ProbeOutcome.SILENT
