"""Client of the control interface of the fabric stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpx


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class FabricControl:
    """
    Adds and removes balancers through the control interface of a running fabric.

    Every method raises ``httpx.HTTPStatusError`` when the fabric rejects the change.
    """

    address: SocketAddress

    async def add_balancer(self, host: str) -> None:
        """Start sending packets to a balancer."""
        await self._call("PUT", host)

    async def remove_balancer(self, host: str) -> None:
        """Stop sending packets to a balancer."""
        await self._call("DELETE", host)

    async def _call(self, method: str, host: str) -> None:
        url = f"http://{self.address}/balancers/{host}"
        async with httpx.AsyncClient() as client:
            (await client.request(method, url)).raise_for_status()
