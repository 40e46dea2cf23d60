"""Where the list of instances comes from."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.membership.instance_record import InstanceRecord


class InstanceListSource(Protocol):
    """The platform's list of live and leaving instances, which lags."""

    async def read_instances(self) -> Sequence[InstanceRecord]:
        """
        Return the instances as the platform lists them now.

        Raise an ``OleanderweirError`` when the list can't be read.
        """
