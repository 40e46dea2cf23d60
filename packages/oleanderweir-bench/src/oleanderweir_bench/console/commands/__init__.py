"""
The commands of the bench, one module each.

A module is named after its command, with underscores for hyphens, and holds the
click command under its own name or under ``command``.
"""

from __future__ import annotations
