"""A request that is to be offered to a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import WorkRequest


@attrs.frozen(kw_only=True)
class PeerOffer:
    """
    A request that is to be offered to a peer.

    ``request`` is what the peer's admission is asked; its ``max_wait_s`` and
    ``deadline`` travel with the offer.
    """

    peer: str
    request: WorkRequest
