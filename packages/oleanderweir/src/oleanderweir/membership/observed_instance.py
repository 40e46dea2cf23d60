"""An instance that introduced itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.membership.instance_record import InstanceRecord


@attrs.frozen(kw_only=True)
class ObservedInstance:
    """An instance known by its greeting; ``expires_at`` is in trio's seconds."""

    record: InstanceRecord
    expires_at: float
