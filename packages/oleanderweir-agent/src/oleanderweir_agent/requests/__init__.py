"""Requests and responses, and how requests are dispatched, run and retried."""

from __future__ import annotations

from oleanderweir_agent.requests.header import Header
from oleanderweir_agent.requests.request import Request
from oleanderweir_agent.requests.request_handler import RequestHandler
from oleanderweir_agent.requests.responder import Responder
from oleanderweir_agent.requests.response_head import ResponseHead


__all__ = ["Header", "Request", "RequestHandler", "Responder", "ResponseHead"]
