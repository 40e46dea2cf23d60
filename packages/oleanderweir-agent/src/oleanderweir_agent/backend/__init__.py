"""HTTP/1.1 exchanges with the backend server."""

from __future__ import annotations

from oleanderweir_agent.backend.backend_client import BackendClient
from oleanderweir_agent.backend.backend_exchange import BackendExchange
from oleanderweir_agent.backend.exceptions import BackendBrokenError
from oleanderweir_agent.backend.exceptions import BackendUnreachableError
from oleanderweir_agent.backend.exceptions import InvalidRequestError


__all__ = [
    "BackendBrokenError",
    "BackendClient",
    "BackendExchange",
    "BackendUnreachableError",
    "InvalidRequestError",
]
