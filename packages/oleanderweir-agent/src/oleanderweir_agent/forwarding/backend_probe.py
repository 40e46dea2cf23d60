"""Whether anything listens at the backend server's address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


# A live machine accepts or refuses a connection within a millisecond.
PROBE_TIMEOUT_S = 0.25


class BackendProbe:
    """Opens a connection to the backend server, and closes it without a request."""

    def __init__(self, *, address: SocketAddress) -> None:
        self.address = address

    async def is_refused(self) -> bool:
        """
        Whether a connection is refused: then the backend server has ended.

        Silence proves nothing: it may be frozen or cut off.
        """
        connection = trio.socket.socket()
        try:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                await connection.connect(self.address.pair)
        except ConnectionRefusedError:
            return True
        except OSError:
            # Reset or unreachable; the next probe tells more.
            return False
        finally:
            connection.close()
        return False
