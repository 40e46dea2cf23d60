"""A request that is being received."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.requests.header import first_value


if TYPE_CHECKING:
    from oleanderweir_agent.requests import Header


MAX_BODY_BYTES = 1024 * 1024


@attrs.define(kw_only=True)
class IncomingRequest:
    """
    The received parts of a request on one stream.

    ``cancel_scope`` surrounds the task that serves the request. It is cancelled when
    the caller cancels the request.
    """

    stream_id: int
    headers: tuple[Header, ...]
    body: bytearray = attrs.field(factory=bytearray)
    is_started: bool = False
    cancel_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeds ``MAX_BODY_BYTES``."""
        return len(self.body) > MAX_BODY_BYTES

    def first(self, name: bytes) -> bytes | None:
        """Return the value of the first header field with this name."""
        return first_value(self.headers, name)
