"""The failure of a request that a peer accepted."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RelayFailure:
    """The peer accepted the request but it failed; it may have run."""

    reason: str
