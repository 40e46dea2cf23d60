"""A node of the experiment: a real replicator in a worker process."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.configuration_service import ConfigurationServiceReader
from oleanderweir.configuration_service import InstanceListReader
from oleanderweir.configuration_service import RetryBackoff
from oleanderweir.configuration_service import ServiceClient
from oleanderweir.configuration_service.service_client import make_http_client
from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir.net import SocketAddress
from oleanderweir.replication import GrpcPeerTransport
from oleanderweir.replication import PeerCredentials
from oleanderweir.replication import Replicator
from oleanderweir.tickets import BootGate
from oleanderweir.tickets import TicketRegister
from oleanderweir_bench.replication.messages import NodePlan
from oleanderweir_bench.replication.messages import NodeReady
from oleanderweir_bench.replication.messages import TicketsInForce


if TYPE_CHECKING:
    from collections.abc import Callable

    import httpx

    from oleanderweir.tickets import Entry
    from oleanderweir_bench.replication.messages import WorkerMessage
    from oleanderweir_bench.replication.worker_plan import WorkerPlan


LOOPBACK = "127.0.0.1"


def make_record(plan: NodePlan) -> InstanceRecord:
    """Return the instance record of a node."""
    address = SocketAddress(host=LOOPBACK, port=plan.port)
    return InstanceRecord(
        name=plan.name,
        role=InstanceRole(plan.role),
        region=plan.region,
        availability_zone=plan.availability_zone,
        peer_address=address,
        data_address=address,
        state=InstanceState.LIVE,
    )


@attrs.define(kw_only=True, eq=False)
class Node:
    """A replicator that reports its readiness and merged tickets to the worker."""

    plan: NodePlan
    worker_plan: WorkerPlan
    report: Callable[[WorkerMessage], None]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Run until stopped."""
        http_client = make_http_client()
        replicator = self.make_replicator(http_client)
        replicator.register.listeners.append(self.report_entries)
        with self.scope:
            try:
                async with trio.open_nursery() as nursery:
                    await nursery.start(replicator.run)
                    await replicator.boot_gate.wait_ready()
                    self.report(NodeReady(name=self.plan.name, at_s=time.monotonic()))
            finally:
                with trio.CancelScope(shield=True):
                    await http_client.aclose()

    def make_replicator(self, http_client: httpx.AsyncClient) -> Replicator:
        """Create the replicator with the same collaborators as in a real process."""
        randomness = random.Random(self.plan.name)
        backoff = RetryBackoff(random=randomness)
        configuration = ServiceClient(
            url=self.worker_plan.configuration_url,
            backoff=backoff,
            http_client=http_client,
        )
        instances = ServiceClient(
            url=self.worker_plan.instance_list_url,
            backoff=backoff,
            http_client=http_client,
        )
        record = make_record(self.plan)
        return Replicator(
            own_record=record,
            register=TicketRegister(),
            boot_gate=BootGate(),
            zone_list=InstanceListReader(
                client=instances, availability_zone=record.availability_zone
            ),
            fleet_list=InstanceListReader(client=instances),
            ticket_source=ConfigurationServiceReader(client=configuration),
            transport=self.make_transport(record),
            random=randomness,
        )

    def make_transport(self, record: InstanceRecord) -> GrpcPeerTransport:
        """Create the transport that serves the node's peer address."""
        credentials = PeerCredentials(
            certificate_path=self.worker_plan.certificate_path,
            key_path=self.worker_plan.key_path,
            authority_path=self.worker_plan.authority_path,
        )
        return GrpcPeerTransport(
            bind_address=record.peer_address, credentials=credentials
        )

    def report_entries(self, entries: tuple[Entry, ...]) -> None:
        """Report the tickets that came into force with merged entries."""
        tickets = tuple(sorted({entry.ticket for entry in entries}))
        self.report(
            TicketsInForce(name=self.plan.name, tickets=tickets, at_s=time.monotonic())
        )
