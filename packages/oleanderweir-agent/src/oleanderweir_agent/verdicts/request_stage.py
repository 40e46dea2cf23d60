"""How far a request has come."""

from __future__ import annotations

import enum


class RequestStage(enum.IntEnum):
    """
    How far a request has come towards its backend server, in order.

    ``HELD`` covers everything before the first byte is handed to the connection of
    the backend server, or to the peer agent. ``SENT`` begins before that hand-over,
    so that a failure in the middle of it counts as sent.
    """

    NOT_SENT = 0
    SENT = 1
    RESPONDING = 2
    COMPLETED = 3
