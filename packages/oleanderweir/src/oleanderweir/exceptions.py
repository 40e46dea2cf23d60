"""Base of every error that oleanderweir raises on purpose."""

from __future__ import annotations

from typing import ClassVar


class OleanderweirError(Exception):
    """
    An error with a stable code.

    The code is what operators search for and what counters are labelled with.
    The message tells the reader what to do next.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return f"[{self.code}] {self.message}"
