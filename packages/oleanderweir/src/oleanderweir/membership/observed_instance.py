"""An instance that this process had a session with."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.membership.instance_record import InstanceRecord


@attrs.frozen(kw_only=True)
class ObservedInstance:
    """An instance known from its hello until ``expires_at`` (trio time, in s)."""

    record: InstanceRecord
    expires_at: float
