"""Loopback addresses of the processes of a deployment."""

from __future__ import annotations

import attrs

from oleanderweir.configuration import BackendServer
from oleanderweir.net import SocketAddress
from oleanderweir_bench.deployment.ports import find_free_port


FABRIC_HOST = "127.0.0.1"
BALANCER_HOST_FORMAT = "127.0.2.{}"
SERVER_HOST_FORMAT = "127.0.3.{}"
MAX_BALANCERS = 16
AVAILABILITY_ZONES = ("valpo-a", "stgo-b", "rancagua-c")


@attrs.define(kw_only=True, eq=False)
class AddressPlan:
    """Allocates free addresses, each only once."""

    allocated: set[SocketAddress] = attrs.field(factory=set)
    entries: dict[str, BackendServer] = attrs.field(factory=dict)

    def allocate(self, host: str) -> SocketAddress:
        """Return a free address on ``host``; raise ``BindError`` if none is found."""
        while True:
            address = SocketAddress(host=host, port=find_free_port(host))
            if address not in self.allocated:
                self.allocated.add(address)
                return address

    def allocate_service_address(self) -> SocketAddress:
        """Return an address whose port is also free on the hosts of all balancers."""
        hosts = [self.balancer_host(number + 1) for number in range(MAX_BALANCERS)]
        address = SocketAddress(
            host=FABRIC_HOST, port=find_free_port(FABRIC_HOST, *hosts)
        )
        self.allocated.add(address)
        self.allocated.update(
            SocketAddress(host=host, port=address.port) for host in hosts
        )
        return address

    def balancer_host(self, number: int) -> str:
        """Return the host on which a balancer listens."""
        return BALANCER_HOST_FORMAT.format(number)

    def availability_zone(self, number: int) -> str:
        """Return the availability zone of the instance with a number."""
        return AVAILABILITY_ZONES[(number - 1) % len(AVAILABILITY_ZONES)]

    def backend_server(self, service: str, number: int, slots: int) -> BackendServer:
        """Return the ticket entry of a backend server, the same on each call."""
        name = f"{service}-{number}"
        if name not in self.entries:
            host = SERVER_HOST_FORMAT.format(number)
            self.entries[name] = BackendServer(
                name=name,
                service=service,
                availability_zone=self.availability_zone(number),
                agent_address=self.allocate(host),
                peer_address=self.allocate(host),
                slots=slots,
            )
        return self.entries[name]
