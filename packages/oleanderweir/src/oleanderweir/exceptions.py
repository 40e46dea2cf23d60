"""Base class of the errors that oleanderweir raises."""

from __future__ import annotations

from typing import ClassVar


class OleanderweirError(Exception):
    """
    An error with a stable code.

    Operators search logs for the code, and metrics use it as a label. The message
    says what went wrong and how to fix it.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return f"[{self.code}] {self.message}"
