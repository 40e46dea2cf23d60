"""A part of a body."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BodyPart:
    """Bytes of a request's or an answer's body, in order."""

    data: bytes
