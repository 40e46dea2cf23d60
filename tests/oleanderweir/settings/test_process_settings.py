from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from oleanderweir.net import SocketAddress
from oleanderweir.settings import InvalidSettingError
from tests.oleanderweir.settings.builders import SECRET
from tests.oleanderweir.settings.builders import build_settings


@pytest.mark.parametrize(
    ("changes", "remedy"),
    [
        ({"instance_name": "Node 1"}, "--instance-name .* write 1 to 63"),
        ({"availability_zone": ""}, "--availability-zone .* write 1 to 63"),
        ({"region": "a" * 64}, "--region .* write 1 to 63"),
        ({"configuration_url": "ftp://a"}, "--configuration-url .* write http"),
        ({"configuration_url": "http://a:99999"}, "--configuration-url .* write http"),
        ({"instance_list_url": "127.0.0.1"}, "--instance-list-url .* write http"),
        ({"shutdown_grace_s": -1.0}, "--shutdown-grace-s .* between 0 and 86400"),
        ({"shutdown_grace_s": float("nan")}, "--shutdown-grace-s .* between"),
        (
            {"admin_address": SocketAddress(host="127.0.0.1", port=7001)},
            "--peer-address and --admin-address are both",
        ),
    ],
    ids=[
        "name-with-space",
        "empty-zone",
        "long-region",
        "other-scheme",
        "port-too-high",
        "url-without-scheme",
        "negative-grace",
        "nan-grace",
        "duplicate-address",
    ],
)
def test_invalid_settings_are_rejected_with_a_remedy(
    changes: dict[str, Any], remedy: str
) -> None:
    with pytest.raises(InvalidSettingError, match=remedy):
        build_settings(**changes)


def test_repr_contains_no_secrets() -> None:
    settings = build_settings()

    assert SECRET not in repr(settings)
    assert repr(bytes.fromhex(SECRET)) not in repr(settings.key_ring)


def test_peer_tls_combines_its_three_files() -> None:
    material = build_settings().peer_tls

    assert material.certificate == Path("a.pem")
    assert material.private_key == Path("a.key")
    assert material.authorities == Path("ca.pem")
