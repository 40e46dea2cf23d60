"""The components that an agent runs for the service of its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.keys import KeyPurpose
from oleanderweir_agent.backend import BackendClient
from oleanderweir_agent.copies import CopyMetrics
from oleanderweir_agent.copies import CopyPolicy
from oleanderweir_agent.copies.copy_runner import CopyRunner
from oleanderweir_agent.drain import DrainState
from oleanderweir_agent.drain import DrainWatcher
from oleanderweir_agent.health.health_probe import HealthProbe
from oleanderweir_agent.limits import ColdStartRamp
from oleanderweir_agent.limits import ObservedSlotsLimit
from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import LoadReporter
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RelayPolicy
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.load_aware_agent_chooser import LoadAwareAgentChooser
from oleanderweir_agent.peers.load_exchange import LoadExchange
from oleanderweir_agent.peers.load_report_codec import LoadReportCodec
from oleanderweir_agent.peers.relay_client import RelayClient
from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
from oleanderweir_agent.peers.relay_server import RelayServer
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FeedAdmission
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_agent.quic import AgentChoice
from oleanderweir_agent.quic import ConnectionIdIssuer
from oleanderweir_agent.quic import PacketEndpoint
from oleanderweir_agent.quic import RetryTokenCodec
from oleanderweir_agent.requests.local_runner import LocalRunner
from oleanderweir_agent.requests.request_dispatcher import RequestDispatcher
from oleanderweir_agent.requests.request_service import RequestService
from oleanderweir_agent.retries import RetryBudget
from oleanderweir_agent.retries import RetryPolicy


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from aioquic.quic.configuration import QuicConfiguration

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.configuration import Service
    from oleanderweir.keys import KeyRing
    from oleanderweir.net import SocketAddress
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.peers.relay_connector import RelayConnector
    from oleanderweir_agent.verdicts import RequestMetrics


class ServiceHost:
    """
    Creates and runs the components that serve callers for one backend server.

    Created once the tickets in force contain the backend server, because its slots
    and its service come from its entry. ``find_entry`` returns the current entry, or
    None if there is none.
    """

    def __init__(
        self,
        *,
        entry: BackendServer,
        service: Service,
        incarnation: int,
        key_ring: KeyRing,
        configuration: ConfigurationView,
        find_entry: Callable[[], BackendServer | None],
        quic_configuration: QuicConfiguration,
        packet_socket: UdpSocket,
        load_socket: UdpSocket,
        backend_address: SocketAddress,
        connector: RelayConnector,
        metrics: AgentMetrics,
        request_metrics: RequestMetrics,
        random_source: random.Random,
    ) -> None:
        backend = BackendClient(address=backend_address)
        relay_codec = RelayMessageCodec()
        self.metrics = metrics
        self.drain = DrainState()
        self.drain_watcher = DrainWatcher(
            configuration=configuration, find_entry=find_entry, state=self.drain
        )
        self.admission = Admission(
            slots=entry.slots,
            limiter=ObservedSlotsLimit(ceiling=entry.slots),
            policy=ShortestExpectedPolicy(),
            drain=self.drain,
            ramp=ColdStartRamp(),
            metrics=request_metrics,
        )
        self.probe = HealthProbe(
            backend=backend, health=self.admission.health, random_source=random_source
        )
        self.reporter = LoadReporter(
            name=entry.name, incarnation=incarnation, admission=self.admission
        )
        table = LoadTable(members=frozenset([entry.name]), metrics=request_metrics)
        group = ServiceGroup(
            own_name=entry.name,
            table=table,
            chooser=LeastWaitChooser(random=random_source),
        )
        self.load_exchange = LoadExchange(
            socket=load_socket,
            service_name=service.name,
            configuration=configuration,
            reporter=self.reporter,
            table=table,
            codec=LoadReportCodec(key_ring=key_ring),
            metrics=metrics,
            random_source=random_source,
            count_sessions=lambda: len(self.endpoint.table.connections),
        )
        runner = LocalRunner(
            backend=backend,
            admission=self.admission,
            feed_admission=FeedAdmission(
                connections=entry.connections,
                drain=self.drain,
                metrics=request_metrics,
            ),
        )
        self.relay_server = RelayServer(
            service_name=service.name, runner=runner, codec=relay_codec
        )
        relay = RelayClient(
            service_name=service.name,
            configuration=configuration,
            connector=connector,
            codec=relay_codec,
        )
        dispatcher = RequestDispatcher(
            runner=runner,
            policy=RelayPolicy(admission=self.admission, group=group),
            relay=relay,
            metrics=metrics,
        )
        copy_policy = CopyPolicy(
            service_name=service.name,
            configuration=configuration,
            admission=self.admission,
            group=group,
            metrics=CopyMetrics(registry=request_metrics.registry),
        )
        handler = RequestService(
            dispatcher=dispatcher,
            copies=CopyRunner(dispatcher=dispatcher, policy=copy_policy, relay=relay),
            retry_policy=RetryPolicy(
                budget=RetryBudget(ratio=service.retry_ratio),
                random=random_source,
                metrics=request_metrics,
            ),
            request_metrics=request_metrics,
            metrics=metrics,
        )
        self.endpoint = PacketEndpoint(
            socket=packet_socket,
            service_name=service.name,
            configuration=configuration,
            quic_configuration=quic_configuration,
            inbound_codec=EnvelopeCodec(
                key_ring=key_ring, purpose=KeyPurpose.ENVELOPE_TO_AGENT
            ),
            outbound_codec=EnvelopeCodec(
                key_ring=key_ring, purpose=KeyPurpose.ENVELOPE_TO_BALANCER
            ),
            token_codec=RetryTokenCodec(key_ring=key_ring),
            issuer=ConnectionIdIssuer(
                codec=ConnectionIdCodec(key_ring=key_ring),
                agent_address=entry.agent_address,
                incarnation=incarnation,
            ),
            chooser=LoadAwareAgentChooser(
                own_agent=AgentChoice(
                    address=entry.agent_address, incarnation=incarnation
                ),
                service_name=service.name,
                group=group,
                configuration=configuration,
            ),
            handler=handler,
            metrics=metrics,
        )
        self.drain.listeners.append(self._on_drain_started)

    async def run(self) -> None:
        """Start the cold-start ramp, then serve until cancelled."""
        self.admission.ramp.restart()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.endpoint.run)
            nursery.start_soon(self.drain_watcher.run)
            nursery.start_soon(self.load_exchange.run)
            nursery.start_soon(self.probe.run)
            nursery.start_soon(self._close_drained_sessions)

    def _on_drain_started(self) -> None:
        """Notify peers and callers immediately that this backend server is draining."""
        self.metrics.drains.inc()
        self.load_exchange.send_report()
        self.endpoint.table.send_goaway()

    async def _close_drained_sessions(self) -> None:
        """Close the remaining connections whenever a drain period has passed."""
        while True:
            await self.drain.wait_begun()
            with trio.move_on_at(self.drain.deadline):
                await self.drain.changed.wait()
            if self.drain.has_period_passed:
                self.endpoint.table.close_all(reason="drain period over")
                await self.drain.changed.wait()
