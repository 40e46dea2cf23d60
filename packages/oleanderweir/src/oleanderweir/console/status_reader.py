"""Asks a running process how it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cattrs
import httpx

from oleanderweir.admin import ProcessStatus
from oleanderweir.console.exceptions import NoAnswerError


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


TIMEOUT_S = 3.0


class StatusReader:
    """Reads ``/status`` of one admin address."""

    def __init__(
        self, *, address: SocketAddress, transport: httpx.BaseTransport | None = None
    ) -> None:
        self.address = address
        self.transport = transport

    def read(self) -> ProcessStatus:
        """Return the status; raise ``NoAnswerError`` if there is none."""
        try:
            with self._create_client() as client:
                response = client.get(f"http://{self.address}/status")
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise NoAnswerError(
                f"{self.address} gives no status ({error}); "
                "check --admin-address and whether the process runs"
            ) from error
        return self._parse(response)

    def _parse(self, response: httpx.Response) -> ProcessStatus:
        """Return the status in an answer; raise ``NoAnswerError`` if it is none."""
        try:
            return cattrs.structure(response.json(), ProcessStatus)
        except (ValueError, cattrs.BaseValidationError) as error:
            raise NoAnswerError(
                f"{self.address} answers, but as no process of oleanderweir does; "
                "check --admin-address"
            ) from error

    def _create_client(self) -> httpx.Client:
        """Return a client that takes no proxy from the environment."""
        return httpx.Client(
            timeout=TIMEOUT_S, trust_env=False, transport=self.transport
        )
