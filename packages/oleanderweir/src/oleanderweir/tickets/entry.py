"""The state of one key as set by one ticket."""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import TYPE_CHECKING
from typing import Any

import attrs
import msgpack

from oleanderweir.tickets.value_codec import unstructure_value


if TYPE_CHECKING:
    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import Service
    from oleanderweir.tickets.entry_key import EntryKey


DIGEST_SIZE_BYTES = 16


@attrs.frozen(kw_only=True)
class Entry:
    """
    The complete state of a key as set by a ticket.

    The entry is a tombstone if ``value`` is ``None``. ``unknown_fields`` contains, as
    msgpack, the fields that this release does not know. They are sent to peers
    unchanged, so that processes of an older release do not strip them.
    """

    key: EntryKey
    ticket: int
    value: Service | BackendServer | None
    unknown_fields: bytes = b""

    @property
    def is_tombstone(self) -> bool:
        """Whether the ticket removed the key."""
        return self.value is None

    @property
    def document(self) -> dict[str, Any] | None:
        """The value as a plain document with sorted fields, unknown fields included."""
        if self.value is None:
            return None
        document = unstructure_value(self.value)
        if self.unknown_fields:
            document.update(msgpack.unpackb(self.unknown_fields))
        return dict(sorted(document.items()))

    @cached_property
    def digest(self) -> bytes:
        """A hash of key, ticket number and content, equal in every process."""
        content = msgpack.packb([str(self.key), self.ticket, self.document])
        return hashlib.blake2b(content, digest_size=DIGEST_SIZE_BYTES).digest()

    @property
    def checksum(self) -> int:
        """The first 8 bytes of the digest as an integer, for bucket digests."""
        return int.from_bytes(self.digest[:8])
