from __future__ import annotations

import pytest

from oleanderweir.net import InvalidAddressError
from oleanderweir.net import SocketAddress


def test_parse_and_pack_round_trip() -> None:
    address = SocketAddress.parse("192.0.2.7:4433")

    assert SocketAddress.unpack(address.packed) == address
    assert str(address) == "192.0.2.7:4433"


@pytest.mark.parametrize(
    "text",
    ["", "192.0.2.7", "192.0.2.7:", "host:80", "192.0.2.7:0", "192.0.2.7:65536"],
    ids=["empty", "no-port", "blank-port", "name", "port-zero", "port-too-high"],
)
def test_parse_rejects_invalid_addresses(text: str) -> None:
    with pytest.raises(InvalidAddressError, match="write 192.0.2.1:443"):
        SocketAddress.parse(text)
