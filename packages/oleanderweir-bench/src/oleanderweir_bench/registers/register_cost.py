"""The costs of a register of a given size."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RegisterCost:
    """
    The costs of a register in processor time, memory and encoded bytes.

    Times are processor times of one process, per entry except ``merge_ticket_us``,
    ``digest_us`` and ``adopt_floor_us``, which are per operation. ``merge_new_us`` is
    the time to merge into an empty register, ``merge_known_us`` that to merge entries
    that are already in force. Sizes are those of the whole state.
    """

    entries: int
    parse_us: float
    merge_new_us: float
    merge_known_us: float
    merge_ticket_us: float
    encode_us: float
    decode_us: float
    digest_us: float
    adopt_floor_us: float
    read_snapshot_us: float
    register_bytes: int
    view_bytes: int
    msgpack_bytes: int
    msgpack_zlib_bytes: int
    json_bytes: int
    json_zlib_bytes: int
    snapshot_parts: int
