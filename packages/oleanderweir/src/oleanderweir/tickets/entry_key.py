"""The key under which the register holds one service or backend server."""

from __future__ import annotations

import hashlib

import attrs

from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.exceptions import InvalidEntryError


BUCKET_COUNT = 256


@attrs.frozen(kw_only=True, order=True)
class EntryKey:
    """A kind and a name; ``str`` gives the text form, ``service/horaflujo``."""

    kind: EntryKind
    name: str

    @classmethod
    def parse(cls, text: str) -> EntryKey:
        """Read the text form; raise ``InvalidEntryError`` for anything else."""
        kind, separator, name = text.partition("/")
        if not separator or not name or kind not in set(EntryKind):
            raise InvalidEntryError(f"'{text}' is no key; write service/NAME")
        return cls(kind=EntryKind(kind), name=name)

    @property
    def bucket(self) -> int:
        """The bucket of the register that holds the key, the same everywhere."""
        return hashlib.blake2b(str(self).encode(), digest_size=1).digest()[0]

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"
