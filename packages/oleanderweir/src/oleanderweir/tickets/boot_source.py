"""The sources from which a booting process reads the tickets in force."""

from __future__ import annotations

import enum


class BootSource(enum.StrEnum):
    """A source from which a booting process reads the tickets in force."""

    CONFIGURATION_SERVICE = "configuration_service"
    PEERS = "peers"
