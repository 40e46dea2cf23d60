"""Whether a process follows a topic at its source."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, eq=False)
class ReaderStatus:
    """
    What the follower of a topic and the peers' side tell each other.

    ``should_read`` is false while enough other processes read and pass changes on;
    ``is_connected`` is true while the source answers this process.
    """

    should_read: bool = True
    is_connected: bool = False
