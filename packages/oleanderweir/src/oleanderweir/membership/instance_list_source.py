"""The source of the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.membership.instance_record import InstanceRecord


class InstanceListSource(Protocol):
    """The platform's list of live and leaving instances, which lags behind."""

    async def read_instances(self) -> Sequence[InstanceRecord]:
        """
        Return the instances that the platform currently lists.

        Raise an ``OleanderweirError`` when the list cannot be read.
        """
