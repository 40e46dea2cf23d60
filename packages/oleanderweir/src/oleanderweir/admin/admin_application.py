"""The routes of the admin interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cattrs
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import PlainTextResponse
from starlette.responses import Response
from starlette.routing import Route


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from prometheus_client import CollectorRegistry
    from starlette.requests import Request

    from oleanderweir.admin.process_status import ProcessStatus


HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class AdminApplication:
    """Serves ``/metrics``, ``/live``, ``/ready`` and ``/status``."""

    def __init__(
        self,
        *,
        registries: Sequence[CollectorRegistry],
        read_status: Callable[[], ProcessStatus],
    ) -> None:
        self.registries = registries
        self.read_status = read_status
        self.asgi = Starlette(
            routes=[
                Route("/metrics", self._metrics),
                Route("/live", self._live),
                Route("/ready", self._ready),
                Route("/status", self._status),
            ]
        )

    async def _metrics(self, request: Request) -> Response:
        """Return every metric in the Prometheus text format."""
        text = b"".join(generate_latest(registry) for registry in self.registries)
        return Response(text, media_type=CONTENT_TYPE_LATEST)

    async def _live(self, request: Request) -> Response:
        """Return 200 as long as the process runs its tasks."""
        return PlainTextResponse("live\n")

    async def _ready(self, request: Request) -> Response:
        """Return 200 if the process is ready, otherwise 503 with the reasons."""
        status = self.read_status()
        return JSONResponse(
            {
                "is_ready": status.is_ready,
                "reasons": cattrs.unstructure(status.reasons),
            },
            status_code=HTTP_OK if status.is_ready else HTTP_SERVICE_UNAVAILABLE,
        )

    async def _status(self, request: Request) -> Response:
        """Return the status of the process."""
        return JSONResponse(cattrs.unstructure(self.read_status()))
