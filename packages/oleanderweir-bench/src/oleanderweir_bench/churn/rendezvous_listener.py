"""The churn baseline: a listener that hashes addresses, not connection IDs."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from oleanderweir.net import pack_sockaddr
from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_balancer.service_listener import ServiceListener


if TYPE_CHECKING:
    from oleanderweir.configuration import BackendServer
    from oleanderweir.net import Datagram


DIGEST_BYTES = 8


class RendezvousListener(ServiceListener):
    """
    Routes every packet by the rendezvous hash of the caller's address and port.

    The destination address and port are not hashed, since they are the same for all
    packets of a service. Draining backend servers are excluded, since they may not
    receive new work.
    """

    def route(self, datagram: Datagram) -> None:
        """Forward one packet to the agent with the highest score."""
        servers = self.candidates()
        if not servers:
            self.metrics.dropped[DropReason.NO_BACKEND_SERVER].inc()
            return
        caller = pack_sockaddr(datagram.source)
        chosen = max(servers, key=lambda server: score(caller, server))
        self.back_socket.send_to(
            self._encode_envelope(datagram), chosen.agent_address.sockaddr
        )
        self.metrics.forwarded_to_agent.inc()

    def candidates(self) -> list[BackendServer]:
        """Return the backend servers that accept new work."""
        if self.service_name is None:
            return []
        servers = self.selector.configuration.backend_servers(self.service_name)
        return [server for server in servers if not server.is_draining]


def score(caller: bytes, server: BackendServer) -> bytes:
    """Return the rendezvous score of a backend server for a caller."""
    key = caller + server.agent_address.packed
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
