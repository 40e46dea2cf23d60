"""Flags of the balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.console.options import ADDRESS
from oleanderweir.console.options import create_identity_options
from oleanderweir.console.options import create_process_options
from oleanderweir.console.options import setting_option


if TYPE_CHECKING:
    import click


def create_balancer_options() -> list[click.Option]:
    """Return the flags in the order of the help text."""
    return [
        *create_identity_options(),
        setting_option(
            "--bind-host",
            help="Local IPv4 host to bind for every service; the service's own "
            "address if absent.",
        ),
        setting_option(
            "--back-address",
            type=ADDRESS,
            required=True,
            help="UDP address that receives the packets of agents.",
        ),
        *create_process_options(),
    ]
