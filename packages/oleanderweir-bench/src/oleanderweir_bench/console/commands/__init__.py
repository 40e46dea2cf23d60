"""
The verbs of the bench, one module each.

A module is named for its verb, with underscores for hyphens, and holds a click
command under its own name, or under ``command``.
"""

from __future__ import annotations
