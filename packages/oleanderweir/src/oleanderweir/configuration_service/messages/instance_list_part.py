"""One part of the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.membership.instance_record import InstanceRecord


@attrs.frozen(kw_only=True)
class InstanceListPart:
    """
    Some of the instances that the platform lists.

    ``version`` is the same in every part of one state of the list.
    """

    version: int
    part: int
    parts: int
    instances: tuple[InstanceRecord, ...]

    @property
    def state_id(self) -> tuple[int, int]:
        """What all parts of one state have in common."""
        return (self.version, self.parts)
