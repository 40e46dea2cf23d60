"""Minimal relays that only receive and send, as the floor of the cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import trio

    from oleanderweir.net import UdpSocket


@attrs.frozen(kw_only=True)
class BareRelay:
    """
    Forwards each datagram of a socket to a fixed address.

    ``relay_one`` is a step of the usual trio socket loop. ``relay_batch`` receives all
    datagrams available at a wake-up, as the balancer does.
    """

    socket: UdpSocket
    destination: tuple[str, int]

    async def relay_one(self, trio_socket: trio.socket.SocketType) -> int:
        """Forward one datagram; return the number of forwarded datagrams."""
        data, _ = await trio_socket.recvfrom(65535)
        await trio_socket.sendto(data, self.destination)
        return 1

    async def relay_batch(self) -> int:
        """Forward the available datagrams; return their number."""
        batch = await self.socket.receive_batch()
        for datagram in batch:
            self.socket.send_to(datagram.data, self.destination)
        return len(batch)
