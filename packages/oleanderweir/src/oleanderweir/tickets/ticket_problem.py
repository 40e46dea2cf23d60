"""One reason for rejecting a ticket."""

from __future__ import annotations

import attrs


MAX_PATH_LENGTH = 200


def make_printable(path: str) -> str:
    """Return the path in ASCII, truncated to ``MAX_PATH_LENGTH`` for log lines."""
    return path.encode("ascii", "backslashreplace").decode("ascii")[:MAX_PATH_LENGTH]


@attrs.frozen(kw_only=True)
class TicketProblem:
    """
    A problem of a field of a ticket, and a remedy that says what to write instead.

    ``path`` is the path of the field from the root of the document, such as
    ``services.horaflujo.address``. It is empty for the document as a whole.
    """

    path: str = attrs.field(converter=make_printable)
    message: str
    remedy: str

    def __str__(self) -> str:
        subject = self.path or "ticket"
        return f"{subject}: {self.message}; {self.remedy}"
