"""Serves an ASGI application on trio."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from oleanderweir.admin.tcp_socket import bind_tcp_socket
from oleanderweir.net import SocketAddress


if TYPE_CHECKING:
    from starlette.applications import Starlette


BACKLOG = 4_096


async def serve_application(
    application: Starlette,
    *,
    host: str,
    port: int,
    task_status: trio.TaskStatus[SocketAddress] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Serve until cancelled; report the bound address once connections are accepted.

    Port 0 selects any free port. Raise ``AddressInUseError`` when the address cannot
    be bound.
    """
    listener = bind_tcp_socket(SocketAddress(host=host, port=port))
    bound_host, bound_port = listener.getsockname()
    config = Config()
    # Hypercorn owns the descriptor from here on.
    config.bind = [f"fd://{listener.detach()}"]
    config.backlog = BACKLOG
    config.graceful_timeout = 0
    async with trio.open_nursery() as nursery:
        await nursery.start(serve, application, config)
        task_status.started(SocketAddress(host=bound_host, port=bound_port))
