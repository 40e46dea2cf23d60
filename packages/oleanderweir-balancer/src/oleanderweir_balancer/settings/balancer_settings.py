"""The validated settings of one balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.settings import ProcessSettings
from oleanderweir.settings import check_host


if TYPE_CHECKING:
    from collections.abc import Mapping

    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class BalancerSettings(ProcessSettings):
    """
    Settings of a balancer.

    ``back_address`` receives the packets of agents (UDP). ``bind_host`` is the local
    host to bind for every service; without it each service's own address is bound.
    """

    back_address: SocketAddress
    bind_host: str | None = attrs.field(default=None, validator=check_host)

    @property
    def udp_addresses(self) -> Mapping[str, SocketAddress]:
        """The UDP addresses to bind, by setting."""
        return {"back_address": self.back_address}
