"""The command line of the balancer."""

from __future__ import annotations
