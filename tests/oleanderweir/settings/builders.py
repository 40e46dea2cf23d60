from __future__ import annotations

from pathlib import Path
from typing import Any

from oleanderweir.keys import KeyRing
from oleanderweir.net import SocketAddress
from oleanderweir.settings import ProcessSettings


SECRET = "5e" * 32


def build_settings(**changes: Any) -> ProcessSettings:
    values: dict[str, Any] = {
        "instance_name": "node-1",
        "availability_zone": "scl-a",
        "peer_address": SocketAddress(host="127.0.0.1", port=7001),
        "admin_address": SocketAddress(host="127.0.0.1", port=7002),
        "key_ring": KeyRing.parse(f"1:{SECRET}"),
        "peer_tls_certificate": Path("a.pem"),
        "peer_tls_private_key": Path("a.key"),
        "peer_tls_ca": Path("ca.pem"),
        "configuration_url": "http://127.0.0.1:8500",
    }
    return ProcessSettings(**{**values, **changes})
