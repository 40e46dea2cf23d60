"""The validated settings of one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.settings import ProcessSettings
from oleanderweir.settings import TlsMaterial
from oleanderweir.settings import check_distinct
from oleanderweir.settings import check_name


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class AgentSettings(ProcessSettings):
    """
    Settings of an agent.

    ``agent_address`` receives the packets of balancers (UDP), ``backend_address`` is
    where the backend server serves HTTP/1.1 (TCP). The certificate and the private key
    are those of the service, used towards callers.
    """

    backend_server: str = attrs.field(validator=check_name)
    agent_address: SocketAddress
    backend_address: SocketAddress
    tls_certificate: Path
    tls_private_key: Path

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        check_distinct({**self.tcp_addresses, "backend_address": self.backend_address})

    @property
    def udp_addresses(self) -> Mapping[str, SocketAddress]:
        """The UDP addresses to bind, by setting."""
        return {"agent_address": self.agent_address}

    @property
    def tls(self) -> TlsMaterial:
        """The TLS material used towards callers."""
        return TlsMaterial(
            certificate=self.tls_certificate, private_key=self.tls_private_key
        )

    @property
    def tls_materials(self) -> Sequence[TlsMaterial]:
        """All TLS material that the process uses, towards callers and peers."""
        return (self.tls, *super().tls_materials)
