"""Changes a running fabric."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import httpx


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class FabricControl:
    """
    Changes a running fabric through its control interface.

    Every method raises ``httpx.HTTPStatusError`` when the fabric refuses.
    """

    address: SocketAddress

    async def add_balancer(self, host: str) -> None:
        """Spray over a balancer too."""
        await self._call("PUT", host)

    async def remove_balancer(self, host: str) -> None:
        """Spray over a balancer no more."""
        await self._call("DELETE", host)

    async def _call(self, method: str, host: str) -> None:
        url = f"http://{self.address}/balancers/{host}"
        async with httpx.AsyncClient() as client:
            (await client.request(method, url)).raise_for_status()
