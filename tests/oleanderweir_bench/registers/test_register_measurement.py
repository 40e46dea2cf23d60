from __future__ import annotations

from oleanderweir_bench.registers import RegisterMeasurement


def test_small_register_is_measured() -> None:
    cost = RegisterMeasurement(services=20, backend_servers=40).run()

    assert cost.entries == 60
    assert cost.snapshot_parts == 1
    assert cost.msgpack_zlib_bytes < cost.msgpack_bytes < cost.json_bytes
    assert cost.register_bytes > 0
