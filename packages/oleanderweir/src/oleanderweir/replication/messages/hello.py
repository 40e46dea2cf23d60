"""The first message of either side of a session."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """
    Tells the other side who speaks.

    ``incarnation`` differs for each start of a process, so a process that restarted
    at the same address is told from the one before it. ``peer_address`` is where
    the speaker takes sessions, as ``HOST:PORT``.
    """

    name: str
    incarnation: str
    role: str
    region: str
    availability_zone: str
    peer_address: str
    data_address: str
