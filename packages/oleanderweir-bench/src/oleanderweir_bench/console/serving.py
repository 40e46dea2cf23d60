"""Serves an ASGI application on trio."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from oleanderweir_bench.exceptions import BindError


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


KEEP_ALIVE_TIMEOUT_S = 300
GRACEFUL_TIMEOUT_S = 1.0
BACKLOG = 1024


async def serve_application(
    application: Any,
    address: SocketAddress,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Serve HTTP/1.1 on ``address`` until cancelled.

    Raise ``BindError`` if the address is in use or not local.
    """
    config = Config()
    config.bind = [str(address)]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    async with trio.open_nursery() as nursery:
        try:
            await nursery.start(serve, application, config)
        except OSError as error:
            raise BindError(
                f"cannot bind TCP {address} ({error.strerror}); choose a free address"
            ) from error
        task_status.started()
