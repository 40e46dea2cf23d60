"""The stages of a request on its way to a backend server."""

from __future__ import annotations

import enum


class RequestStage(enum.IntEnum):
    """
    The stages of a request on its way to a backend server, in order.

    ``SENT`` starts just before the first byte is written to the connection of the
    backend server, so that a write which fails midway counts as sent. ``RESPONDING``
    starts with the head of the response, ``COMPLETED`` when the whole response has been
    forwarded.
    """

    NOT_SENT = 0
    SENT = 1
    RESPONDING = 2
    COMPLETED = 3
