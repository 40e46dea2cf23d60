"""A service that callers reach under one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class Service:
    """
    A service, as the ticket in force describes it.

    ``request_timeout_s`` is the deadline of a request whose caller names none.
    ``retry_ratio`` bounds retries as a share of first attempts. A request whose path
    starts with one of ``feed_paths`` is a feed: it takes a connection, not a slot.
    """

    name: str
    address: SocketAddress
    request_timeout_s: float = 10.0
    retry_ratio: float = 0.1
    feed_paths: tuple[str, ...] = ()
