"""What an instance runs."""

from __future__ import annotations

import enum


class InstanceRole(enum.StrEnum):
    """What an instance runs."""

    BALANCER = "balancer"
    AGENT = "agent"
