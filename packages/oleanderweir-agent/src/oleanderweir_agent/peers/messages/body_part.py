"""A part of a request or response body."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BodyPart:
    """The next bytes of a body; parts are sent in order."""

    data: bytes
