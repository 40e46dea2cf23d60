"""Tells the agents of a service about each other's load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

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
    Sends this agent's load to its peers, and takes theirs.

    Reports are datagrams: a lost one is replaced by the next within half a second,
    and a stream for each pair of agents would cost more than it carries.
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
        self.random_source = random_source
        self.count_sessions = count_sessions

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)

    async def _send(self) -> None:
        """Report to every peer at a jittered interval."""
        while True:
            self.report()
            jitter = self.random_source.uniform(
                1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION
            )
            await trio.sleep(REPORT_INTERVAL_S * jitter)

    def report(self) -> None:
        """Report once, to this agent's own table as well."""
        servers = self.configuration.backend_servers(self.service_name)
        self.table.set_members(frozenset(server.name for server in servers))
        self.reporter.sessions = self.count_sessions()
        report = self.reporter.report()
        self.table.merge(report)
        data = self.codec.encode(report)
        for server in servers:
            if server.name != report.name:
                self.socket.send_to(data, server.peer_address.pair)

    async def _receive(self) -> None:
        """Take the reports of peers."""
        while True:
            for datagram in await self.socket.receive_batch():
                self._on_report(datagram.data)

    def _on_report(self, data: bytes) -> None:
        try:
            report = self.codec.decode(data)
        except InvalidLoadReportError:
            self.metrics.invalid_load_reports.inc()
            return
        self.table.merge(report)
