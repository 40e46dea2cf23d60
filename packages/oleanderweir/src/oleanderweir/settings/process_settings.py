"""Settings that balancers and agents have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.settings.log_level import LogLevel
from oleanderweir.settings.tls_material import TlsMaterial
from oleanderweir.settings.validators import check_distinct
from oleanderweir.settings.validators import check_grace
from oleanderweir.settings.validators import check_name
from oleanderweir.settings.validators import check_url


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from oleanderweir.keys import KeyRing
    from oleanderweir.net import SocketAddress


DEFAULT_REGION = "default"
DEFAULT_SHUTDOWN_GRACE_S = 30.0


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """
    Validated settings of one process.

    ``peer_address`` receives the calls of other processes (TCP), ``admin_address``
    those of operators (HTTP). The instance list is read from ``instance_list_url`` or,
    if that is ``None``, from the configuration service. ``shutdown_grace_s`` limits
    the duration of a graceful shutdown. The ``repr`` omits the key ring, which holds
    secrets.
    """

    instance_name: str = attrs.field(validator=check_name)
    availability_zone: str = attrs.field(validator=check_name)
    region: str = attrs.field(default=DEFAULT_REGION, validator=check_name)
    peer_address: SocketAddress
    admin_address: SocketAddress
    key_ring: KeyRing = attrs.field(repr=False)
    configuration_url: str = attrs.field(validator=check_url)
    instance_list_url: str | None = attrs.field(default=None, validator=check_url)
    peer_tls_certificate: Path
    peer_tls_private_key: Path
    peer_tls_ca: Path
    log_level: LogLevel = LogLevel.INFO
    shutdown_grace_s: float = attrs.field(
        default=DEFAULT_SHUTDOWN_GRACE_S, validator=check_grace
    )

    def __attrs_post_init__(self) -> None:
        check_distinct(self.tcp_addresses)

    @property
    def tcp_addresses(self) -> Mapping[str, SocketAddress]:
        """The TCP addresses to bind, by name of the setting."""
        return {"peer_address": self.peer_address, "admin_address": self.admin_address}

    @property
    def udp_addresses(self) -> Mapping[str, SocketAddress]:
        """The UDP addresses to bind, by name of the setting."""
        return {}

    @property
    def peer_tls(self) -> TlsMaterial:
        """TLS material for connections between processes."""
        return TlsMaterial(
            certificate=self.peer_tls_certificate,
            private_key=self.peer_tls_private_key,
            authorities=self.peer_tls_ca,
        )

    @property
    def tls_materials(self) -> Sequence[TlsMaterial]:
        """All TLS material that the process uses."""
        return (self.peer_tls,)
