"""One instance of the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.membership.instance_role import InstanceRole
    from oleanderweir.membership.instance_state import InstanceState
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """An instance, as listed by the platform or as described in its hello."""

    name: str
    role: InstanceRole
    region: str
    availability_zone: str
    peer_address: SocketAddress
    data_address: SocketAddress
    state: InstanceState
