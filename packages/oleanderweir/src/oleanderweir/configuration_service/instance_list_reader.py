"""Reads the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.exceptions import ServiceUnavailableError
from oleanderweir.configuration_service.messages import InstanceListPart


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration_service.service_client import ServiceClient
    from oleanderweir.membership.instance_record import InstanceRecord


INSTANCES_PATH = "/v1/instances"
MAX_LIST_PARTS = 64
MAX_LIST_RESTARTS = 3


@attrs.define(kw_only=True, eq=False)
class InstanceListReader:
    """
    Reads the live and leaving instances that the platform lists, with its lag.

    With ``availability_zone`` set, only the instances there are read.
    """

    client: ServiceClient
    availability_zone: str | None = None

    async def read_instances(self) -> Sequence[InstanceRecord]:
        """
        Return the instances as the platform lists them now.

        Raise ``ServiceUnavailableError`` when the list cannot be read and
        ``InvalidServiceResponseError`` when it breaks the protocol.
        """
        for _ in range(MAX_LIST_RESTARTS):
            parts = await self.read_parts()
            if parts:
                return tuple(record for part in parts for record in part.instances)
        raise ServiceUnavailableError(
            f"the instance list changed during each of {MAX_LIST_RESTARTS} reads; "
            "read it later"
        )

    async def read_parts(self) -> list[InstanceListPart]:
        """Return the parts of one version, or nothing when it was replaced."""
        first = await self.read_part(0)
        if not 1 <= first.parts <= MAX_LIST_PARTS:
            raise InvalidServiceResponseError(
                f"the instance list has {first.parts} parts; "
                f"publish 1 to {MAX_LIST_PARTS}"
            )
        parts = [first]
        for number in range(1, first.parts):
            part = await self.read_part(number)
            if (part.version, part.parts) != (first.version, first.parts):
                return []
            parts.append(part)
        return parts

    async def read_part(self, number: int) -> InstanceListPart:
        """Return one part of the list."""
        parameters: dict[str, str | int] = {"part": number}
        if self.availability_zone is not None:
            parameters["availability_zone"] = self.availability_zone
        return await self.client.read(INSTANCES_PATH, InstanceListPart, parameters)
