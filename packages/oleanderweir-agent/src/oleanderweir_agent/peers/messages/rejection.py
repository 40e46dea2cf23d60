"""The rejection of an offer."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Rejection:
    """The peer did not accept the request, so the request did not run there."""

    reason: str
    retry_after_s: float | None
