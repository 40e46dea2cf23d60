from __future__ import annotations

from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=77)
