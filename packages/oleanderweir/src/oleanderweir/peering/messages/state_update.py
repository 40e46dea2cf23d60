"""Changes of the published state, passed on."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StateUpdate:
    """
    One change of the backend servers, as the source told it.

    ``base`` is the revision up to which the sender knew them before: who knows them up
    to there, or further, can apply the change; who is behind asks for all.
    ``document`` is None for a removal.
    """

    base: int
    revision: int
    name: str
    document: bytes | None
