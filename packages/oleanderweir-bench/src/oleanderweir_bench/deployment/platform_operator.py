"""Client of the operators' interface of the configuration service stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpx

from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.configuration_service.messages import encode_message


if TYPE_CHECKING:
    from oleanderweir.membership import InstanceRecord
    from oleanderweir.net import SocketAddress


@attrs.define(kw_only=True, eq=False)
class PlatformOperator:
    """
    Publishes tickets and the instance list through the stand-in's operators' interface.

    Every method raises ``httpx.HTTPStatusError`` when the stand-in rejects the change.
    """

    configuration_address: SocketAddress
    instances: dict[str, InstanceRecord] = attrs.field(factory=dict)

    async def publish_ticket(self, text: str) -> None:
        """Publish a ticket."""
        await self._call("POST", "tickets", text.encode())

    async def add_instance(self, record: InstanceRecord) -> None:
        """Add an instance to the instance list and publish it."""
        self.instances[record.name] = record
        await self._publish_instances()

    async def _publish_instances(self) -> None:
        part = InstanceListPart(
            version=0, part=0, parts=1, instances=tuple(self.instances.values())
        )
        await self._call("PUT", "instances", encode_message(part))

    async def _call(self, method: str, path: str, content: bytes) -> None:
        url = f"http://{self.configuration_address}/operator/{path}"
        async with httpx.AsyncClient() as client:
            (await client.request(method, url, content=content)).raise_for_status()
