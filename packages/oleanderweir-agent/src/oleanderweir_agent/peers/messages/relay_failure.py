"""The failure of a request that a peer took."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RelayFailure:
    """The peer took the request and could not answer it; it may have run."""

    reason: str
