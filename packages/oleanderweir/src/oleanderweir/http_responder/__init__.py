"""A small HTTP/1.1 server for probes and metrics."""

from __future__ import annotations

from oleanderweir.http_responder.http_answer import HttpAnswer
from oleanderweir.http_responder.http_responder import HttpResponder


__all__ = ["HttpAnswer", "HttpResponder"]
