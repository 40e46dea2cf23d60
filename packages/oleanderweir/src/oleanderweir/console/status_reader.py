"""Reads the status of a running process."""

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
    """Reads ``/status`` from one admin address."""

    def __init__(
        self, *, address: SocketAddress, transport: httpx.BaseTransport | None = None
    ) -> None:
        self.address = address
        self.transport = transport

    def read(self) -> ProcessStatus:
        """Return the status; raise ``NoAnswerError`` if none is received."""
        try:
            with self._create_client() as client:
                response = client.get(f"http://{self.address}/status")
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise NoAnswerError(
                f"{self.address} returned no status ({error}); "
                "check --admin-address and that the process is running"
            ) from error
        return self._parse(response)

    def _parse(self, response: httpx.Response) -> ProcessStatus:
        """Parse the status in a response; raise ``NoAnswerError`` if it is invalid."""
        try:
            return cattrs.structure(response.json(), ProcessStatus)
        except (ValueError, cattrs.BaseValidationError) as error:
            raise NoAnswerError(
                f"the response of {self.address} is not an oleanderweir status; "
                "check --admin-address"
            ) from error

    def _create_client(self) -> httpx.Client:
        """Return a client that ignores proxy settings in the environment."""
        return httpx.Client(
            timeout=TIMEOUT_S, trust_env=False, transport=self.transport
        )
