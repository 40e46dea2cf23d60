"""Tickets: what operators decide, and how decisions merge."""

from __future__ import annotations
