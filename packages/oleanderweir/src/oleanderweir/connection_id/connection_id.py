"""The route that a connection ID carries."""

from __future__ import annotations

import attrs


CONNECTION_ID_LENGTH_BYTES = 20
MAX_INCARNATION = 2**32 - 1
MAX_NONCE = 2**24 - 1


@attrs.frozen(kw_only=True)
class ConnectionId:
    """
    The agent and the service that a connection belongs to.

    ``agent`` is a packed address. ``incarnation`` distinguishes successive runs of an
    agent at the same address. ``service_tag`` has three bytes. ``nonce`` makes the
    connection IDs of one incarnation unique.
    """

    agent: bytes
    incarnation: int
    service_tag: bytes
    nonce: int
