"""One reason for which a ticket is refused."""

from __future__ import annotations

import attrs


MAX_PATH_LENGTH = 200


def make_printable(path: str) -> str:
    """Return the path in ASCII and cut to a length that fits into a log line."""
    return path.encode("ascii", "backslashreplace").decode("ascii")[:MAX_PATH_LENGTH]


@attrs.frozen(kw_only=True)
class TicketProblem:
    """
    What is wrong with a field of a ticket, and what to write in its place.

    ``path`` names the field from the top of the document, such as
    ``services.horaflujo.address``. It is empty for the document as a whole.
    """

    path: str = attrs.field(converter=make_printable)
    message: str
    remedy: str

    def __str__(self) -> str:
        subject = self.path or "ticket"
        return f"{subject}: {self.message}; {self.remedy}"
