from __future__ import annotations

from pathlib import Path

from oleanderweir_bench.deployment.ports import find_free_port


LOCAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_lie_below_the_local_port_range() -> None:
    first_local_port = int(LOCAL_PORT_RANGE.read_text(encoding="ascii").split()[0])

    assert find_free_port("127.0.0.1") < first_local_port
