"""Serves an ASGI application on trio."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

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
    Serve until cancelled; report the bound address when it accepts connections.

    Port 0 takes any free port.
    """
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG
    config.graceful_timeout = 0
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(serve, application, config)
        bound = urls[0].rpartition("/")[2]
        task_status.started(SocketAddress.parse(bound))
