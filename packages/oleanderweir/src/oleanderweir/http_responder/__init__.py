"""A small HTTP/1.1 server for probes and metrics."""

from __future__ import annotations

from oleanderweir.http_responder.http_responder import HttpResponder
from oleanderweir.http_responder.http_response import HttpResponse


__all__ = ["HttpResponder", "HttpResponse"]
