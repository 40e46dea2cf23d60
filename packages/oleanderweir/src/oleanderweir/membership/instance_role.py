"""The role of an instance."""

from __future__ import annotations

import enum


class InstanceRole(enum.StrEnum):
    """The kind of process that an instance runs."""

    BALANCER = "balancer"
    AGENT = "agent"
