"""A service that callers reach at one address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class Service:
    """
    A service, as described by the ticket in force.

    ``request_timeout_s`` applies to requests for which the caller sets no deadline.
    ``retry_ratio`` limits retries to a share of first attempts. A request whose path
    starts with one of ``feed_paths`` is a feed: it occupies a connection instead of
    a slot. ``max_copy_share`` limits second copies of slow requests to a share of the
    requests that may be copied; 0 is off.
    """

    name: str
    address: SocketAddress
    request_timeout_s: float = 10.0
    retry_ratio: float = 0.1
    feed_paths: tuple[str, ...] = ()
    max_copy_share: float = 0.0
