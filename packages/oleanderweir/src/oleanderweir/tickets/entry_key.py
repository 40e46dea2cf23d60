"""The key of a service or backend server in the register."""

from __future__ import annotations

import hashlib

import attrs

from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.exceptions import InvalidEntryError


BUCKET_COUNT = 256


@attrs.frozen(kw_only=True, order=True)
class EntryKey:
    """A kind and a name, as text ``KIND/NAME``, such as ``service/horaflujo``."""

    kind: EntryKind
    name: str

    @classmethod
    def parse(cls, text: str) -> EntryKey:
        """Parse the text form; raise ``InvalidEntryError`` if it is invalid."""
        kind, separator, name = text.partition("/")
        if not separator or not name or kind not in set(EntryKind):
            raise InvalidEntryError(
                f"'{text}' is not a valid key; "
                "write service/NAME or backend_server/NAME"
            )
        return cls(kind=EntryKind(kind), name=name)

    @property
    def bucket(self) -> int:
        """The number of the key's bucket in the register, equal in every process."""
        return hashlib.blake2b(str(self).encode(), digest_size=1).digest()[0]

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"
