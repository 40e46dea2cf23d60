"""Reads the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.configuration_service.part_reader import PartReader


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration_service.service_client import ServiceClient
    from oleanderweir.membership.instance_record import InstanceRecord


INSTANCES_PATH = "/v1/instances"


@attrs.define(kw_only=True, eq=False)
class InstanceListReader:
    """
    Reads the platform's list of live and leaving instances.

    The list lags behind the actual state. If ``availability_zone`` is set, only the
    instances of that zone are read.
    """

    client: ServiceClient
    availability_zone: str | None = None

    async def read_instances(self) -> Sequence[InstanceRecord]:
        """
        Return the instances that the platform currently lists.

        Raise ``ServiceUnavailableError`` when the list cannot be read and
        ``InvalidServiceResponseError`` when a response violates the protocol.
        """
        reader = PartReader(
            client=self.client,
            path=INSTANCES_PATH,
            part_type=InstanceListPart,
            subject="instance list",
        )
        zone = self.availability_zone
        parts = await reader.read({} if zone is None else {"availability_zone": zone})
        return tuple(record for part in parts for record in part.instances)
