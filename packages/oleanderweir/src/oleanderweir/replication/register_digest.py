"""The digest by which two registers are compared."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RegisterDigest:
    """The hash of a register's content and the floor of its tombstones."""

    content: bytes
    floor: int
