"""The first message that each side of a session sends."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """
    Identifies the sender.

    ``incarnation`` is new for each start of a process, which distinguishes a restarted
    process from its predecessor at the same address. ``peer_address`` is the address
    at which the sender accepts sessions, as ``HOST:PORT``.
    """

    name: str
    incarnation: str
    role: str
    region: str
    availability_zone: str
    peer_address: str
    data_address: str
