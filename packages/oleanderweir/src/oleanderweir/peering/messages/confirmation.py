"""A reader's confirmation that its state is that of the source."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Confirmation:
    """
    A reader's state was the newest one of the source ``age_ms`` milliseconds ago.

    ``desired_version``, ``backends_revision`` and ``evacuations_revision`` say which
    state, as in a heartbeat.
    ``reader`` is the reader's host, empty if it is the sender. The receiver relays the
    confirmation to those of its members whose ring positions are from ``relay_from``
    to ``relay_to``; to none if ``relay_to`` is 0.
    """

    desired_version: int
    backends_revision: int
    age_ms: int
    reader: str
    relay_from: int
    relay_to: int
    evacuations_revision: int = 0
