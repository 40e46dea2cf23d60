"""Where an attempt of a request is."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, eq=False)
class AttemptPlace:
    """
    The place of an attempt, which its copy must avoid, and the other way round.

    ``peer`` is the peer that the attempt was offered to, None while it is here. It
    isn't offered to the peers in ``avoided``.
    """

    peer: str | None = None
    avoided: set[str] = attrs.field(factory=set)
