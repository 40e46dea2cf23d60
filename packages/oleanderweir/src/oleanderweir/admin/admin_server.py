"""HTTP server of the admin interface."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import cast

from hypercorn.config import Config
from hypercorn.trio import serve

from oleanderweir.admin.admin_application import AdminApplication
from oleanderweir.admin.tcp_socket import bind_tcp_socket


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    import trio
    from hypercorn.typing import ASGIFramework
    from prometheus_client import CollectorRegistry

    from oleanderweir.admin.process_status import ProcessStatus
    from oleanderweir.net import SocketAddress


KEEP_ALIVE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 10
GRACEFUL_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 16 * 1024


class AdminServer:
    """
    An HTTP/1.1 server on ``address`` without TLS, for private networks only.

    One response contains the metrics of all ``registries``, so their names must differ.
    """

    def __init__(
        self,
        *,
        address: SocketAddress,
        registries: Sequence[CollectorRegistry],
        read_status: Callable[[], ProcessStatus],
    ) -> None:
        self.address = address
        self.application = AdminApplication(
            registries=registries, read_status=read_status
        )

    async def run(self, *, task_status: trio.TaskStatus[list[str]]) -> None:
        """Serve until cancelled; raise ``AddressInUseError`` if the bind fails."""
        bound = bind_tcp_socket(self.address)
        # Hypercorn owns the descriptor from here on.
        config = self._configure(bound.detach())
        await serve(
            cast("ASGIFramework", self.application.asgi),
            config,
            task_status=task_status,
            mode="asgi",
        )

    def _configure(self, file_descriptor: int) -> Config:
        """Return the configuration of hypercorn."""
        config = Config()
        config.bind = [f"fd://{file_descriptor}"]
        config.errorlog = logging.getLogger("hypercorn.error")
        config.include_server_header = False
        config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        config.read_timeout = READ_TIMEOUT_S
        config.graceful_timeout = GRACEFUL_TIMEOUT_S
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        return config
