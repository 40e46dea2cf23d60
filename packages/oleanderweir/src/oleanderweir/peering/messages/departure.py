"""An agent that leaves."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Departure:
    """
    The last message of an agent whose backend server has stopped.

    ``service`` is the service that it belonged to. Lookups don't wait for a reply of
    this agent.
    """

    service: str
