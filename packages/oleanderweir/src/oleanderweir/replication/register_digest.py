"""What tells two registers apart."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RegisterDigest:
    """A hash of a register's content, and the floor of its tombstones."""

    content: bytes
    floor: int
