"""What a Retry token proves."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RetryToken:
    """
    The first exchange of a flow, as the agent that answered it saw it.

    ``caller`` and ``service`` are packed addresses. ``issued_at`` is in milliseconds
    of Unix time, since another instance reads it.
    """

    caller: bytes
    service: bytes
    original_destination_connection_id: bytes
    retry_source_connection_id: bytes
    issued_at_ms: int
