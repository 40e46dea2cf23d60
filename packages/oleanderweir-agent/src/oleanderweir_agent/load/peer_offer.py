"""The offer of a request to a peer agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import WorkRequest


@attrs.frozen(kw_only=True)
class PeerOffer:
    """
    The offer of a request to a peer agent.

    ``request`` is passed to the admission of the peer; its ``max_wait_s`` and
    ``deadline`` are sent with the offer.
    """

    peer: str
    request: WorkRequest
