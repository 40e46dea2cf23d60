"""A complete deployment on one machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from oleanderweir.configuration import Service
from oleanderweir_bench.callers import Http3Caller
from oleanderweir_bench.deployment.address_plan import FABRIC_HOST
from oleanderweir_bench.deployment.address_plan import AddressPlan
from oleanderweir_bench.deployment.balancer_kind import BalancerKind
from oleanderweir_bench.deployment.deployed_server import DeployedServer
from oleanderweir_bench.deployment.fabric_control import FabricControl
from oleanderweir_bench.deployment.instance_processes import InstanceProcesses
from oleanderweir_bench.deployment.platform_operator import PlatformOperator
from oleanderweir_bench.deployment.platform_processes import PlatformProcesses
from oleanderweir_bench.deployment.ticket_writer import TicketWriter
from oleanderweir_bench.keys import CertificateAuthority


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.configuration import BackendServer
    from oleanderweir_bench.deployment.deployed_balancer import DeployedBalancer
    from oleanderweir_bench.processes import ProcessSupervisor


class Deployment:
    """
    The processes of a deployment with one service.

    Callers reach the service through the fabric. Each balancer listens on its own host,
    on the port of the service. The configuration service publishes the first ticket
    from ``folder``; later tickets are published through its operators' interface.
    """

    def __init__(
        self,
        *,
        supervisor: ProcessSupervisor,
        folder: Path,
        service_name: str = "horaflujo",
        slots: int = 4,
        balancer_kind: BalancerKind = BalancerKind.ANCHORED,
    ) -> None:
        self.supervisor = supervisor
        self.platform = PlatformProcesses(supervisor=supervisor)
        self.folder = folder
        self.slots = slots
        self.authority = CertificateAuthority()
        self.tickets = TicketWriter()
        self.plan = AddressPlan()
        self.service = Service(
            name=service_name,
            address=self.plan.allocate_service_address(),
            feed_paths=("/feed",),
        )
        self.configuration_address = self.plan.allocate(FABRIC_HOST)
        self.operator = PlatformOperator(
            configuration_address=self.configuration_address
        )
        self.fabric = FabricControl(address=self.plan.allocate(FABRIC_HOST))
        self.balancers: dict[str, DeployedBalancer] = {}
        self.servers: dict[str, DeployedServer] = {}
        self.instances = InstanceProcesses(
            supervisor=supervisor,
            plan=self.plan,
            operator=self.operator,
            certificate=self.authority.write(folder, service_name),
            peer_credentials=self.authority.write_peer_credentials(folder),
            balancer_kind=balancer_kind,
        )
        self.tickets_folder = folder / "tickets"
        self.tickets_folder.mkdir()

    async def start(self, *, balancers: int, backend_servers: int) -> None:
        """
        Start all processes; return when each of them reports that it is ready.

        Raise ``ProcessFailedError`` when one exits or does not become ready in time.
        """
        await self.start_configuration_service(backend_servers)
        for number in range(backend_servers):
            await self.start_server(number + 1)
        for number in range(balancers):
            await self.start_balancer(number + 1)
        await self.platform.start_fabric(
            self.service.address,
            self.fabric.address,
            [balancer.host for balancer in self.balancers.values()],
        )
        for server in self.servers.values():
            await self.wait_server(server)
        for balancer in self.balancers.values():
            await self.wait_balancer(balancer)

    async def start_configuration_service(self, backend_servers: int) -> None:
        """Write the first ticket and start the configuration service with it."""
        entries = [self.make_entry(number + 1) for number in range(backend_servers)]
        text = self.tickets.write(services=[self.service], backend_servers=entries)
        (self.tickets_folder / "0001.json").write_text(text, encoding="utf-8")
        await self.platform.start_configuration_service(
            self.configuration_address, self.tickets_folder
        )

    async def start_balancer(self, number: int) -> DeployedBalancer:
        """Start a balancer; the fabric does not send packets to it yet."""
        balancer = await self.instances.start_balancer(number)
        self.balancers[balancer.name] = balancer
        return balancer

    async def start_server(self, number: int) -> DeployedServer:
        """Start a backend server and its agent, without publishing a ticket for it."""
        entry = self.make_entry(number)
        host = entry.agent_address.host
        backend_address = self.plan.allocate(host)
        admin_address = self.plan.allocate(host)
        backend_process = await self.platform.start_backend_server(
            entry.name, self.service.name, backend_address, entry.slots
        )
        agent_process = await self.instances.start_agent(
            number, entry, backend_address=backend_address, admin_address=admin_address
        )
        server = DeployedServer(
            entry=entry,
            backend_address=backend_address,
            admin_address=admin_address,
            backend_process=backend_process,
            agent_process=agent_process,
        )
        self.servers[entry.name] = server
        return server

    async def wait_balancer(self, balancer: DeployedBalancer) -> None:
        """Wait until a balancer is ready; raise ``ProcessFailedError`` if it fails."""
        await balancer.process.wait_http(f"http://{balancer.admin_address}/ready")

    async def wait_server(self, server: DeployedServer) -> None:
        """
        Wait until a backend server and its agent are ready.

        Raise ``ProcessFailedError`` if one of them fails.
        """
        await server.backend_process.wait_http(
            f"http://{server.backend_address}/health"
        )
        await server.agent_process.wait_http(f"http://{server.admin_address}/ready")

    async def publish(
        self,
        *,
        backend_servers: tuple[BackendServer, ...] = (),
        removed_backend_servers: tuple[str, ...] = (),
    ) -> None:
        """Publish the next ticket; raise ``httpx.HTTPStatusError`` on rejection."""
        text = self.tickets.write(
            backend_servers=backend_servers,
            removed_backend_servers=removed_backend_servers,
        )
        await self.operator.publish_ticket(text)

    async def list_started_item_ids(self) -> list[str]:
        """Return the identifiers of all reports and confirmations that have started."""
        item_ids: list[str] = []
        async with httpx.AsyncClient() as client:
            for server in self.servers.values():
                url = f"http://{server.backend_address}/ledger"
                records = (await client.get(url)).json()
                item_ids += [
                    record["item_id"] for record in records if record["item_id"]
                ]
        return item_ids

    def create_caller(self) -> Http3Caller:
        """Return a new caller of the service."""
        return Http3Caller(
            address=self.service.address,
            ca_pem=self.authority.certificate_pem,
            server_name=self.service.name,
        )

    def make_entry(self, number: int) -> BackendServer:
        """Return the ticket entry of a backend server, the same on each call."""
        return self.plan.backend_server(self.service.name, number, self.slots)
