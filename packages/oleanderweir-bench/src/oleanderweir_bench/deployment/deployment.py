"""A complete deployment on one machine."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import httpx

from oleanderweir.configuration import Service
from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir_bench.callers import Http3Caller
from oleanderweir_bench.deployment.address_plan import FABRIC_HOST
from oleanderweir_bench.deployment.address_plan import AddressPlan
from oleanderweir_bench.deployment.balancer_kind import BalancerKind
from oleanderweir_bench.deployment.commands import agent_command
from oleanderweir_bench.deployment.commands import balancer_command
from oleanderweir_bench.deployment.deployed_balancer import DeployedBalancer
from oleanderweir_bench.deployment.deployed_server import DeployedServer
from oleanderweir_bench.deployment.fabric_control import FabricControl
from oleanderweir_bench.deployment.platform_operator import PlatformOperator
from oleanderweir_bench.deployment.platform_processes import PlatformProcesses
from oleanderweir_bench.deployment.ticket_writer import TicketWriter
from oleanderweir_bench.keys import CertificateAuthority


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from oleanderweir.configuration import BackendServer
    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.processes import ProcessSupervisor
    from oleanderweir_bench.processes import SupervisedProcess


REGION = "central-chile"
SECRET_BYTES = 32


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
        self.balancer_kind = balancer_kind
        self.authority = CertificateAuthority()
        self.keys = f"1:{secrets.token_hex(SECRET_BYTES)}"
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
        self.certificate = self.authority.write(folder, service_name)
        self.peer_certificate = self.authority.write(folder, "instance")
        self.authority_path = self.authority.write_authority(folder)
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
        name = f"balancer-{number}"
        host = self.plan.balancer_host(number)
        admin_address = self.plan.allocate(host)
        record = self.make_instance_record(
            name,
            InstanceRole.BALANCER,
            number,
            data_address=self.plan.allocate(host),
            peer_address=self.plan.allocate(host),
        )
        process = await self.start_instance(
            record,
            balancer_command(self.balancer_kind),
            f"--bind-host={host}",
            f"--back-address={record.data_address}",
            f"--admin-address={admin_address}",
        )
        balancer = DeployedBalancer(
            name=name, host=host, admin_address=admin_address, process=process
        )
        self.balancers[name] = balancer
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
        record = self.make_instance_record(
            f"agent-{number}",
            InstanceRole.AGENT,
            number,
            data_address=entry.agent_address,
            peer_address=entry.peer_address,
        )
        agent_process = await self.start_instance(
            record,
            agent_command(),
            f"--backend-server={entry.name}",
            f"--agent-address={entry.agent_address}",
            f"--backend-address={backend_address}",
            f"--admin-address={admin_address}",
            f"--tls-certificate={self.certificate.certificate}",
            f"--tls-private-key={self.certificate.private_key}",
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

    async def start_instance(
        self, record: InstanceRecord, command: Sequence[str], *arguments: str
    ) -> SupervisedProcess:
        """Add an instance to the list, and start it with the flags of all instances."""
        await self.operator.add_instance(record)
        shared_flags = [
            f"--instance-name={record.name}",
            f"--availability-zone={record.availability_zone}",
            f"--region={record.region}",
            f"--peer-address={record.peer_address}",
            f"--configuration-url=http://{self.configuration_address}",
            f"--peer-tls-certificate={self.peer_certificate.certificate}",
            f"--peer-tls-private-key={self.peer_certificate.private_key}",
            f"--peer-tls-ca={self.authority_path}",
        ]
        return await self.supervisor.start(
            record.name,
            [*command, *shared_flags, *arguments],
            environment={"OLEANDERWEIR_KEYS": self.keys},
        )

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

    def make_instance_record(
        self,
        name: str,
        role: InstanceRole,
        number: int,
        *,
        data_address: SocketAddress,
        peer_address: SocketAddress,
    ) -> InstanceRecord:
        """Return the record of an instance for the instance list."""
        return InstanceRecord(
            name=name,
            role=role,
            region=REGION,
            availability_zone=self.plan.availability_zone(number),
            peer_address=peer_address,
            data_address=data_address,
            state=InstanceState.LIVE,
        )

    def make_entry(self, number: int) -> BackendServer:
        """Return the ticket entry of a backend server, the same on each call."""
        return self.plan.backend_server(self.service.name, number, self.slots)
