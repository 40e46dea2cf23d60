"""A change of the published state that a reader sends to its members."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StateUpdate:
    """
    One change of the backend servers, as the source reported it.

    ``base`` is the revision of the change or listing that the sender had before the
    change. A receiver with that revision or a newer one can apply the change; one that
    is behind fetches the whole topic. ``document`` is None for a removal.
    """

    base: int
    revision: int
    name: str
    document: bytes | None
