from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path import encode_packet
from oleanderweir_bench.soak.soak_site import FEED_ROUTE
from tests.oleanderweir_bench.soak.unstarted_site import add_backend
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path


CALLER = bytes([127, 16, 100, 1]) + (1024).to_bytes(2, "big")
KEY = make_flow_key(caller=CALLER, route=FEED_ROUTE)


async def test_asking_whether_a_flow_is_held_records_no_false_reset(
    tmp_path: Path,
) -> None:
    async with open_site(tmp_path) as site:
        server = add_backend(site).server

        assert not site.holds_flow(KEY)

        server.on_datagram("", encode_packet(KEY, is_opening=True))
        server.flows[KEY].is_open = True

        assert site.holds_flow(KEY)
        assert site.falsely_reset == []
