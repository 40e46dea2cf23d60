"""Listens on the TCP ports of a process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.http_responder import HttpResponder
from oleanderweir.http_responder import HttpResponse
from oleanderweir.peering import StateServer


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.desired_state import StateRegister
    from oleanderweir.event_log import EventCounters
    from oleanderweir.net import SocketAddress
    from oleanderweir.packet_process.process_addresses import ProcessAddresses


READY = HttpResponse(status=200, body=b"ready\n")
NOT_READY = HttpResponse(status=503, body=b"not ready\n")
LISTEN_BACKLOG = 64


class ProcessListeners:
    """Answers readiness probes and requests for the metrics and the state."""

    def __init__(
        self,
        *,
        addresses: ProcessAddresses,
        register: StateRegister,
        counters: EventCounters,
        is_ready: Callable[[], bool],
    ) -> None:
        self.addresses = addresses
        self.register = register
        self.counters = counters
        self.is_ready = is_ready

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on all ports; connections are served in ``nursery``."""
        probes = HttpResponder(
            handlers={self.addresses.readiness_path: self._report_readiness}
        )
        metrics = HttpResponder(
            handlers={self.addresses.metrics_path: self._report_metrics}
        )
        state_server = StateServer(register=self.register)
        await _listen_at(self.addresses.readiness, probes.serve, nursery)
        await _listen_at(self.addresses.metrics, metrics.serve, nursery)
        await _listen_at(self.addresses.peer, state_server.serve, nursery)

    def _report_readiness(self) -> HttpResponse:
        return READY if self.is_ready() else NOT_READY

    def _report_metrics(self) -> HttpResponse:
        # Imported on the first request: the library would double the start-up time.
        from oleanderweir.packet_process.metrics_page import make_metrics_page  # noqa: PLC0415

        return make_metrics_page(
            self.counters, evacuations_started_at=self.register.evacuations_started_at
        )


async def _listen_at(
    address: SocketAddress,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    listener = trio.socket.socket()
    listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await listener.bind(address.sockaddr)
    listener.listen(LISTEN_BACKLOG)
    barrier = ErrorBarrier(place="connection")

    async def serve_guarded(stream: trio.SocketStream) -> None:
        with barrier:
            await serve(stream)

    listeners = [trio.SocketListener(listener)]
    nursery.start_soon(partial(trio.serve_listeners, serve_guarded, listeners))
