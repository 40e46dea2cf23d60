"""Keeps the tickets in force in a process, in sync with its peers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir.configuration_service import ConfigurationServiceReader
from oleanderweir.configuration_service import InstanceListReader
from oleanderweir.configuration_service import RetryBackoff
from oleanderweir.configuration_service import ServiceClient
from oleanderweir.configuration_service.service_client import make_http_client
from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir.replication import GrpcPeerTransport
from oleanderweir.replication import PeerCredentials
from oleanderweir.replication import Replicator
from oleanderweir.settings import InvalidSettingError
from oleanderweir.tickets import BootGate
from oleanderweir.tickets import RegisterView
from oleanderweir.tickets import TicketRegister


if TYPE_CHECKING:
    import httpx

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import StreamService
    from oleanderweir.settings import ProcessSettings


class ControlPlane:
    """
    The register of a process, the view of it, and the task that replicates it.

    ``data_address`` is where the process receives packets. Stream services that are
    added to ``other_services`` before ``run`` are served at the peer address too.
    Raises ``InvalidSettingError`` without TLS material for peers.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        role: InstanceRole,
        data_address: SocketAddress,
    ) -> None:
        self.settings = settings
        self.record = InstanceRecord(
            name=settings.instance_name,
            role=role,
            region=settings.region,
            availability_zone=settings.availability_zone,
            peer_address=settings.peer_address,
            data_address=data_address,
            state=InstanceState.LIVE,
        )
        self.other_services: list[StreamService] = []
        self.credentials = _make_credentials(settings)
        self.random_source = random.Random()
        self.register = TicketRegister()
        self.boot_gate = BootGate()
        self.view = RegisterView(register=self.register, boot_gate=self.boot_gate)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Replicate until cancelled; signals started once peers can connect."""
        http_client = make_http_client()
        try:
            await self._make_replicator(http_client).run(task_status=task_status)
        finally:
            with trio.CancelScope(shield=True):
                await http_client.aclose()

    def _make_replicator(self, http_client: httpx.AsyncClient) -> Replicator:
        """Return the task that replicates the register."""
        settings = self.settings
        instances = self._make_client(
            http_client, settings.instance_list_url or settings.configuration_url
        )
        configuration = self._make_client(http_client, settings.configuration_url)
        return Replicator(
            own_record=self.record,
            register=self.register,
            boot_gate=self.boot_gate,
            zone_list=InstanceListReader(
                client=instances, availability_zone=settings.availability_zone
            ),
            fleet_list=InstanceListReader(client=instances),
            ticket_source=ConfigurationServiceReader(client=configuration),
            transport=GrpcPeerTransport(
                bind_address=settings.peer_address,
                credentials=self.credentials,
                other_services=self.other_services,
            ),
            random=self.random_source,
        )

    def _make_client(self, http_client: httpx.AsyncClient, url: str) -> ServiceClient:
        """Return a client of the platform's service at ``url``."""
        backoff = RetryBackoff(random=self.random_source)
        return ServiceClient(url=url, backoff=backoff, http_client=http_client)


def _make_credentials(settings: ProcessSettings) -> PeerCredentials:
    """Return the credentials for peers; raise ``InvalidSettingError`` if absent."""
    material = settings.peer_tls
    if material is None or material.authorities is None:
        raise InvalidSettingError(
            "TLS material for connections to peers is missing; give "
            "--peer-tls-certificate, --peer-tls-private-key and --peer-tls-ca"
        )
    return PeerCredentials(
        certificate_path=str(material.certificate),
        key_path=str(material.private_key),
        authority_path=str(material.authorities),
    )
