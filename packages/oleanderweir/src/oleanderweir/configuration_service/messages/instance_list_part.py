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
        """The values that are the same in all parts of one state of the list."""
        return (self.version, self.parts)
