"""Connects to the backend server over HTTP/1.1."""

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
    Opens a new connection for each request.

    A server may close a kept-alive connection just as a request is written, and then it
    is unknown whether the request ran. On a new connection, a request can't have run
    before its first byte is sent.
    """

    def __init__(self, *, address: SocketAddress) -> None:
        self.address = address

    async def connect(self) -> BackendExchange:
        """
        Open a connection.

        Raise ``BackendUnreachableError`` if the backend server does not accept it
        within ``CONNECT_TIMEOUT_S``.
        """
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except (OSError, trio.TooSlowError) as error:
            raise BackendUnreachableError(
                f"backend server {self.address} does not accept connections; "
                "check that it is running and listens on this address"
            ) from error
        return BackendExchange(stream=stream)
