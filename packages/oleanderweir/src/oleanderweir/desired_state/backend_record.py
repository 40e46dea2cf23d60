"""One backend server, as it published itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.desired_state.backend_state import BackendState


@attrs.frozen(kw_only=True)
class BackendRecord:
    """
    A backend server and its start.

    ``host`` is the address of its instance, where its agent runs too. ``slots`` is
    the number of requests that it runs at once. ``cold_s`` says how much longer it
    was slow after its start when it published this. ``started_at_ms`` is the Unix
    time of its start, which tells its lifetimes apart.
    """

    identifier: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    state: BackendState
    cold_s: float
    started_at_ms: int
