"""The last record of a backend server that is no longer published."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_record import BackendRecord


@attrs.frozen(kw_only=True)
class RemovedRecord:
    """A record, and when it was removed, in seconds of trio's clock."""

    record: BackendRecord
    removed_at: float
