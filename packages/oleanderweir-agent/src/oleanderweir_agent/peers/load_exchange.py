"""Exchange of load reports between the agents of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir_agent.load import REPORT_INTERVAL_S
from oleanderweir_agent.peers.exceptions import InvalidLoadReportError


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.load import LoadReporter
    from oleanderweir_agent.load import LoadTable
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.peers.load_report_codec import LoadReportCodec


JITTER_FRACTION = 0.1


class LoadExchange:
    """
    Sends load reports to the peers of this agent, and records theirs.

    Reports are datagrams. The next report replaces a lost one within half a second,
    and a stream for each pair of agents would cost more than the reports themselves.
    """

    def __init__(
        self,
        *,
        socket: UdpSocket,
        service_name: str,
        configuration: ConfigurationView,
        reporter: LoadReporter,
        table: LoadTable,
        codec: LoadReportCodec,
        metrics: AgentMetrics,
        random_source: random.Random,
        count_sessions: Callable[[], int],
    ) -> None:
        self.socket = socket
        self.service_name = service_name
        self.configuration = configuration
        self.reporter = reporter
        self.table = table
        self.codec = codec
        self.metrics = metrics
        self.barrier = ErrorBarrier(place="load_report")
        self.random_source = random_source
        self.count_sessions = count_sessions

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)

    async def _send(self) -> None:
        """Send reports at a jittered interval."""
        while True:
            self.send_report()
            jitter = self.random_source.uniform(
                1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
            )
            await trio.sleep(REPORT_INTERVAL_S * jitter)

    def send_report(self) -> None:
        """Send one report to every peer, and merge it into this agent's load table."""
        servers = self.configuration.backend_servers(self.service_name)
        self.table.set_members(frozenset(server.name for server in servers))
        self.reporter.sessions = self.count_sessions()
        report = self.reporter.report()
        self.table.merge(report)
        data = self.codec.encode(report)
        for server in servers:
            if server.name != report.name:
                self.socket.send_to(data, server.peer_address.sockaddr)

    async def _receive(self) -> None:
        """Receive the reports of peers."""
        while True:
            for datagram in await self.socket.receive_batch():
                with self.barrier:
                    self._on_report(datagram.data)

    def _on_report(self, data: bytes) -> None:
        try:
            report = self.codec.decode(data)
        except InvalidLoadReportError:
            self.metrics.invalid_load_reports.inc()
            return
        self.table.merge(report)
