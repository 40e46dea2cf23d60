"""
Sends a confirmation to all members by way of balancers that relay it.

The members are ordered on a hash ring and split into at most ``FAN_OUT`` sections. One
balancer of each section gets the confirmation with the bounds of the section, and
relays it in the same way, so that no balancer sends more than ``FAN_OUT`` datagrams for
one confirmation, unless a section has no other balancer. Each reader chooses other
relays, so that a process beside a lost relay still gets the confirmations of others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.peering.host_ring import HostRing
from oleanderweir.peering.host_ring import ring_position
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members
    from oleanderweir.peering.messages import Confirmation


FAN_OUT = 16


class ConfirmationRelay:
    """Sends confirmations to members, and relays those of others."""

    def __init__(self, *, port: int, socket: UdpSocket, members: Members) -> None:
        self.port = port
        self.socket = socket
        self.members = members
        self.ring = HostRing()

    def send_to(self, host: str, confirmation: Confirmation) -> None:
        """Send a confirmation to one host, which relays it to no other."""
        self._send(host, attrs.evolve(confirmation, relay_from=0, relay_to=0))

    def send_to_all(self, confirmation: Confirmation) -> None:
        """Send a confirmation of this process to all members."""
        start = ring_position(self.members.own_host)
        hosts = self._find_members(start, start - 1)
        self._send_section(hosts, confirmation, reader=self.members.own_host)

    def relay(self, sender: str, confirmation: Confirmation) -> None:
        """Relay a confirmation, which names its reader, to its section."""
        first, last = confirmation.relay_from, confirmation.relay_to
        reader = confirmation.reader
        hosts = [
            h for h in self._find_members(first, last) if h not in (sender, reader)
        ]
        self._send_section(hosts, confirmation, reader=reader)

    def _find_members(self, first: int, last: int) -> list[str]:
        """Return the members of a section, in the order of the ring."""
        self.ring.update(self.members.members.keys())
        return self.ring.find_section(first, last)

    def _send_section(
        self, hosts: Sequence[str], confirmation: Confirmation, *, reader: str
    ) -> None:
        """Send a confirmation to hosts in the order of the ring."""
        if len(hosts) <= FAN_OUT:
            for host in hosts:
                self.send_to(host, confirmation)
            return
        size = -(-len(hosts) // FAN_OUT)
        for start in range(0, len(hosts), size):
            section = hosts[start : start + size]
            self._send_by_relay(section, confirmation, reader=reader)

    def _send_by_relay(
        self, hosts: Sequence[str], confirmation: Confirmation, *, reader: str
    ) -> None:
        """Send a confirmation to the relay of a section, or to all without one."""
        balancers = [host for host in hosts if self._is_balancer(host)]
        if not balancers:
            for host in hosts:
                self.send_to(host, confirmation)
            return
        relay = balancers[ring_position(reader) % len(balancers)]
        section = attrs.evolve(
            confirmation,
            relay_from=ring_position(hosts[0]),
            relay_to=ring_position(hosts[-1]),
        )
        self._send(relay, section)

    def _is_balancer(self, host: str) -> bool:
        return self.members.members[host].heartbeat.role is PeerRole.BALANCER

    def _send(self, host: str, confirmation: Confirmation) -> None:
        self.socket.send_to(encode_message(confirmation), (host, self.port))
