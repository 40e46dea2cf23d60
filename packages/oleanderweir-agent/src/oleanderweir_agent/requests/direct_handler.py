"""Passes requests straight to the backend server."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.backend import BackendBrokenError
from oleanderweir_agent.backend import BackendUnreachableError
from oleanderweir_agent.requests.header import Header
from oleanderweir_agent.requests.response_head import ResponseHead


if TYPE_CHECKING:
    from oleanderweir_agent.backend import BackendClient
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder


class DirectHandler:
    """Answers each request from the backend server beside this agent."""

    def __init__(self, *, backend: BackendClient) -> None:
        self.backend = backend

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request whole, or refuse or reset it."""
        with trio.move_on_at(request.deadline) as scope:
            await self._exchange(request, responder)
        if scope.cancelled_caught:
            responder.reset()

    async def _exchange(self, request: Request, responder: Responder) -> None:
        """Run the exchange with the backend server."""
        try:
            exchange = await self.backend.connect()
        except BackendUnreachableError as error:
            await self._refuse(responder, error.code)
            return
        async with exchange:
            try:
                await exchange.send(request)
                await responder.send_head(await exchange.read_head())
                async with contextlib.aclosing(exchange.read_body()) as body:
                    async for data in body:
                        await responder.send_data(data)
            except BackendBrokenError:
                responder.reset()
                return
            await responder.finish()

    async def _refuse(self, responder: Responder, reason: str) -> None:
        """Tell the caller that the request did not run, and why."""
        headers = (
            Header(name=b"retry-after", value=b"1"),
            Header(name=b"request-not-run", value=reason.encode()),
        )
        await responder.send_head(ResponseHead(status=503, headers=headers))
        await responder.finish()
