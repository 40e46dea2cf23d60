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

    ``request`` is the request as the admission of the peer receives it. The peer is
    sent its ``max_wait_s`` and the remaining time until its ``deadline``.
    """

    peer: str
    request: WorkRequest
