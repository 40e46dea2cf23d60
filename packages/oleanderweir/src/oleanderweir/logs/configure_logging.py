"""Configures the logging of a process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from oleanderweir.logs.repeat_filter import RepeatFilter


if TYPE_CHECKING:
    from oleanderweir.settings import ProcessSettings


def configure_logging(*, settings: ProcessSettings, stream: TextIO) -> RepeatFilter:
    """
    Write every log record to ``stream`` as one line of JSON.

    Each line has the time (UTC), level, logger, message, code, instance and
    availability zone. Return the filter; the process must call its
    ``report_suppressed`` periodically.
    """
    repeat_filter = RepeatFilter()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_create_formatter(settings))
    handler.addFilter(repeat_filter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.log_level.value.upper())
    # Below WARNING, these libraries log each HTTP request and the start of a server.
    for name in ("httpx", "httpcore", "hypercorn"):
        logging.getLogger(name).setLevel(logging.WARNING)
    return repeat_filter


def _create_formatter(settings: ProcessSettings) -> logging.Formatter:
    """Return the formatter that renders a record as JSON."""
    return JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
        defaults={"code": None},
        static_fields={
            "instance": settings.instance_name,
            "availability_zone": settings.availability_zone,
        },
    )
