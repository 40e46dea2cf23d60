"""A scripted service for the tests of its readers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import httpx
import trio

from oleanderweir.configuration_service import RetryBackoff
from oleanderweir.configuration_service import ServiceClient
from oleanderweir.configuration_service.messages import encode_message


if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.define(kw_only=True)
class ScriptedService(httpx.AsyncBaseTransport):
    """Responds to each call with the next step: a message, status, error or delay."""

    script: list[object]
    requests: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request.url.raw_path.decode())
        self.times.append(trio.current_time())
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, float):
            await trio.sleep(step)
            return httpx.Response(200)
        if isinstance(step, int):
            return httpx.Response(step)
        content = step if isinstance(step, bytes) else encode_message(step)
        return httpx.Response(200, content=content)


def make_client(service: httpx.AsyncBaseTransport) -> ServiceClient:
    return ServiceClient(
        url="http://platform.example/",
        backoff=RetryBackoff(random=random.Random(1)),
        http_client=httpx.AsyncClient(transport=service, timeout=None),
    )


def scripted_client(*script: object) -> tuple[ScriptedService, ServiceClient]:
    service = ScriptedService(script=list(script))
    return service, make_client(service)


def gaps_s(times: Sequence[float]) -> list[float]:
    return [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
