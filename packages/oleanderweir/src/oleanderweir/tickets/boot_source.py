"""Where a process that boots reads the tickets in force."""

from __future__ import annotations

import enum


class BootSource(enum.StrEnum):
    """Where a process that boots reads the tickets in force."""

    CONFIGURATION_SERVICE = "configuration_service"
    PEERS = "peers"
