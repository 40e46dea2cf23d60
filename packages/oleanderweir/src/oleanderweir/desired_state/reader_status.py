"""Whether a process reads a topic from its source."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, eq=False)
class ReaderStatus:
    """
    The status that a topic's follower shares with the peer protocol.

    The peer protocol clears ``should_read`` while enough other processes read the topic
    and distribute its changes. The follower sets ``is_connected`` while the source
    answers.
    """

    should_read: bool = True
    is_connected: bool = False
