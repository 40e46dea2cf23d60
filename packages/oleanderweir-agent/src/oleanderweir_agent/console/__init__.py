"""The command line of the agent."""

from __future__ import annotations
