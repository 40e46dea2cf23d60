"""Calls the backend server over HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.backend.backend_exchange import BackendExchange
from oleanderweir_agent.backend.exceptions import BackendUnreachableError


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


CONNECT_TIMEOUT_S = 1.0


class BackendClient:
    """
    Opens one connection for each request.

    A connection that is kept may be closed by its server just as a request is
    written, and then nobody can say whether the request ran. A new one makes the
    first byte a clear mark.
    """

    def __init__(self, *, address: SocketAddress) -> None:
        self.address = address

    async def connect(self) -> BackendExchange:
        """
        Open a connection.

        Raise ``BackendUnreachableError`` when the backend server does not accept.
        """
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except (OSError, trio.TooSlowError) as error:
            raise BackendUnreachableError(
                f"backend server {self.address} does not accept connections; "
                "check that it runs"
            ) from error
        return BackendExchange(stream=stream)
