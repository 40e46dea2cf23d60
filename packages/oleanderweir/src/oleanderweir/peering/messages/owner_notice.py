"""The owner of a flow."""

from __future__ import annotations

import attrs

from oleanderweir.flows import FlowKey  # noqa: TC001


@attrs.frozen(kw_only=True)
class OwnerNotice:
    """
    The backend server at ``host`` holds the flow ``key``.

    ``host`` is empty if the sender is the agent of that backend server.
    """

    key: FlowKey
    host: str = ""
