"""Who holds a flow."""

from __future__ import annotations

import attrs

from oleanderweir.flows import FlowKey  # noqa: TC001


@attrs.frozen(kw_only=True)
class OwnerNotice:
    """The sender's backend server holds the flow ``key``."""

    key: FlowKey
