"""Processes of the instances of a deployment."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import attrs

from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir_bench.deployment.commands import agent_command
from oleanderweir_bench.deployment.commands import balancer_command
from oleanderweir_bench.deployment.deployed_balancer import DeployedBalancer


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration import BackendServer
    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerCredentials
    from oleanderweir_bench.deployment.address_plan import AddressPlan
    from oleanderweir_bench.deployment.balancer_kind import BalancerKind
    from oleanderweir_bench.deployment.platform_operator import PlatformOperator
    from oleanderweir_bench.keys import CertificateFiles
    from oleanderweir_bench.processes import ProcessSupervisor
    from oleanderweir_bench.processes import SupervisedProcess


REGION = "central-chile"
SECRET_BYTES = 32


@attrs.frozen(kw_only=True)
class InstanceProcesses:
    """
    Starts the balancers and agents of a deployment, which share a set of keys.

    ``certificate`` is that of the service, ``peer_credentials`` are those with which
    instances authenticate each other. No method waits until a process is ready.
    """

    supervisor: ProcessSupervisor
    plan: AddressPlan
    operator: PlatformOperator
    certificate: CertificateFiles
    peer_credentials: PeerCredentials
    balancer_kind: BalancerKind
    keys: str = attrs.field(
        factory=lambda: f"1:{secrets.token_hex(SECRET_BYTES)}", repr=False
    )

    async def start_balancer(self, number: int) -> DeployedBalancer:
        """Add a balancer to the instance list and start it."""
        host = self.plan.balancer_host(number)
        admin_address = self.plan.allocate(host)
        record = self._make_record(
            f"balancer-{number}",
            InstanceRole.BALANCER,
            number,
            data_address=self.plan.allocate(host),
            peer_address=self.plan.allocate(host),
        )
        process = await self._start(
            record,
            balancer_command(self.balancer_kind),
            f"--bind-host={host}",
            f"--back-address={record.data_address}",
            f"--admin-address={admin_address}",
        )
        return DeployedBalancer(
            name=record.name, host=host, admin_address=admin_address, process=process
        )

    async def start_agent(
        self,
        number: int,
        entry: BackendServer,
        *,
        backend_address: SocketAddress,
        admin_address: SocketAddress,
    ) -> SupervisedProcess:
        """Add the agent of a backend server to the instance list and start it."""
        record = self._make_record(
            f"agent-{number}",
            InstanceRole.AGENT,
            number,
            data_address=entry.agent_address,
            peer_address=entry.peer_address,
        )
        return await self._start(
            record,
            agent_command(),
            f"--backend-server={entry.name}",
            f"--agent-address={entry.agent_address}",
            f"--backend-address={backend_address}",
            f"--admin-address={admin_address}",
            f"--tls-certificate={self.certificate.certificate}",
            f"--tls-private-key={self.certificate.private_key}",
        )

    async def _start(
        self, record: InstanceRecord, command: Sequence[str], *arguments: str
    ) -> SupervisedProcess:
        """Add an instance to the list, and start it with the flags of all instances."""
        await self.operator.add_instance(record)
        shared_flags = [
            f"--instance-name={record.name}",
            f"--availability-zone={record.availability_zone}",
            f"--region={record.region}",
            f"--peer-address={record.peer_address}",
            f"--configuration-url=http://{self.operator.configuration_address}",
            f"--peer-tls-certificate={self.peer_credentials.certificate_path}",
            f"--peer-tls-private-key={self.peer_credentials.key_path}",
            f"--peer-tls-ca={self.peer_credentials.authority_path}",
        ]
        return await self.supervisor.start(
            record.name,
            [*command, *shared_flags, *arguments],
            environment={"OLEANDERWEIR_KEYS": self.keys},
        )

    def _make_record(
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
