"""The content of a Retry token."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RetryToken:
    """
    The addresses and connection IDs of the exchange that led to a Retry.

    ``caller`` and ``service`` are packed addresses. ``issued_at_ms`` is in Unix time,
    because agents on other hosts validate the token.
    """

    caller: bytes
    service: bytes
    original_destination_connection_id: bytes
    retry_source_connection_id: bytes
    issued_at_ms: int
