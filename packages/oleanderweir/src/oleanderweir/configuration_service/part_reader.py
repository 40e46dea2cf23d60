"""Reads state that the platform publishes in several parts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import attrs

from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.exceptions import ServiceUnavailableError
from oleanderweir.configuration_service.messages import PublishedPart


if TYPE_CHECKING:
    from collections.abc import Mapping

    from oleanderweir.configuration_service.service_client import ServiceClient


MAX_PARTS = 64
MAX_READS = 3

PartT = TypeVar("PartT", bound=PublishedPart)


@attrs.frozen(kw_only=True)
class PartReader(Generic[PartT]):
    """
    Reads all parts of one state, and restarts if the state is replaced meanwhile.

    ``subject`` names the state in error messages.
    """

    client: ServiceClient
    path: str
    part_type: type[PartT]
    subject: str

    async def read(self, parameters: Mapping[str, str]) -> list[PartT]:
        """
        Return the parts of one state in order.

        Raise ``ServiceUnavailableError`` when they cannot be read or are replaced
        during each of ``MAX_READS`` reads, and ``InvalidServiceResponseError`` when
        the part numbers are wrong.
        """
        for _ in range(MAX_READS):
            parts = await self.read_once(parameters)
            if parts:
                return parts
        raise ServiceUnavailableError(
            f"the {self.subject} was replaced during each of {MAX_READS} reads; "
            "publish it less often"
        )

    async def read_once(self, parameters: Mapping[str, str]) -> list[PartT]:
        """Return the parts of one state, or an empty list if it was replaced."""
        first = await self.read_part(0, parameters)
        if not 1 <= first.parts <= MAX_PARTS:
            raise InvalidServiceResponseError(
                f"the {self.subject} has {first.parts} parts; "
                f"publish it in 1 to {MAX_PARTS} parts"
            )
        parts = [first]
        for number in range(1, first.parts):
            part = await self.read_part(number, parameters)
            if part.state_id != first.state_id:
                return []
            parts.append(part)
        return parts

    async def read_part(self, number: int, parameters: Mapping[str, str]) -> PartT:
        """Return the part with that number."""
        part = await self.client.read(
            self.path, self.part_type, {"part": number, **parameters}
        )
        if part.part != number:
            raise InvalidServiceResponseError(
                f"part {number} of the {self.subject} has the number {part.part}; "
                "publish all parts again"
            )
        return part
