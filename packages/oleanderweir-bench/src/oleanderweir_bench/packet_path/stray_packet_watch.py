"""Watches whether the packets of open flows reach their own backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.flows import FlowKey


# A flow is stray once this many of its packets have reached other backend servers, and
# none its own, for this long.
MIN_STRAY_PACKETS = 3
STRAY_AFTER_S = 2.0


@attrs.define(kw_only=True, eq=False)
class StrayPackets:
    """The packets of one flow at other backend servers since one reached its own."""

    since: float
    count: int = 0


class StrayPacketWatch:
    """
    Counts stray flows; ``find_owner`` returns the host that has a flow open.

    Packets at a host count only if ``is_judged`` is true for the owner and that host.
    """

    def __init__(self, *, find_owner: Callable[[FlowKey], str | None]) -> None:
        self.find_owner = find_owner
        self.is_judged: Callable[[str, str], bool] = lambda _, __: True
        self.packets: dict[FlowKey, StrayPackets] = {}
        self.stray: set[FlowKey] = set()

    def on_packet(self, host: str, key: FlowKey) -> None:
        """Record that a packet of a flow has reached a backend server."""
        owner = self.find_owner(key)
        if owner is None or owner == host or not self.is_judged(owner, host):
            self.packets.pop(key, None)
            return
        now = trio.current_time()
        packets = self.packets.setdefault(key, StrayPackets(since=now))
        packets.count += 1
        is_late = now - packets.since >= STRAY_AFTER_S
        if packets.count >= MIN_STRAY_PACKETS and is_late:
            self.stray.add(key)
