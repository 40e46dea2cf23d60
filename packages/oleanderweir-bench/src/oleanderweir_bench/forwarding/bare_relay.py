"""The floor: relays that do nothing but receive and send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import trio

    from oleanderweir.net import UdpSocket


@attrs.frozen(kw_only=True)
class BareRelay:
    """
    Sends each datagram of a socket on to a fixed address.

    ``relay_one`` is the usual trio socket loop, ``relay_batch`` reads all that a
    wake-up finds, as the product does.
    """

    socket: UdpSocket
    destination: tuple[str, int]

    async def relay_one(self, trio_socket: trio.socket.SocketType) -> int:
        """Receive and send one datagram; return how many were relayed."""
        data, _ = await trio_socket.recvfrom(65535)
        await trio_socket.sendto(data, self.destination)
        return 1

    async def relay_batch(self) -> int:
        """Receive and send what is there; return how many were relayed."""
        batch = await self.socket.receive_batch()
        for datagram in batch:
            self.socket.send_to(datagram.data, self.destination)
        return len(batch)
