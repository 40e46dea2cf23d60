"""A configuration as it was written, with what a process would leave out."""

from __future__ import annotations

import attrs

from oleanderweir.config_check.service_limits import ServiceLimits  # noqa: TC001
from oleanderweir.desired_state import Route  # noqa: TC001


@attrs.frozen(kw_only=True)
class ConfigDraft:
    """
    The valid entries of a configuration in their order, duplicates included.

    ``version`` and ``idle_timeout_s`` are ``None`` if they are invalid, ``services`` if
    the configuration lists none. ``is_complete`` is false if an entry was invalid.
    """

    version: int | None
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...] | None
    idle_timeout_s: float | None
    is_complete: bool = True
