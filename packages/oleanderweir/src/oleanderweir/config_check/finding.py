"""One finding about a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.config_check.finding_code import FindingCode
    from oleanderweir.config_check.severity import Severity


# A name in a document may have any length.
MAX_TEXT_CHARS = 500


def _shorten(text: str) -> str:
    return text[:MAX_TEXT_CHARS]


@attrs.frozen(kw_only=True)
class Finding:
    """
    What is wrong or different at a place, and what to do about it.

    ``place`` is a route, a service or the configuration; ``field`` is the name of one
    of its fields, or empty.
    """

    code: FindingCode
    place: str = attrs.field(converter=_shorten)
    field: str = attrs.field(default="", converter=_shorten)
    message: str = attrs.field(converter=_shorten)

    @property
    def severity(self) -> Severity:
        """How much it matters."""
        return self.code.severity

    def __str__(self) -> str:
        """Return one line of ASCII, which any terminal and log can show."""
        place = f"{self.place}, {self.field}" if self.field else self.place
        line = f"{self.severity} [{self.code}] {place}: {self.message}"
        return line.encode("unicode_escape").decode("ascii")
