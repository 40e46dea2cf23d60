"""Flags of the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.console.options import ADDRESS
from oleanderweir.console.options import FILE
from oleanderweir.console.options import create_identity_options
from oleanderweir.console.options import create_process_options
from oleanderweir.console.options import setting_option


if TYPE_CHECKING:
    import click


def create_agent_options() -> list[click.Option]:
    """Return the flags in the order of the help text."""
    return [
        *create_identity_options(),
        setting_option(
            "--backend-server",
            required=True,
            help="Name of the agent's backend server in the tickets.",
        ),
        setting_option(
            "--agent-address",
            type=ADDRESS,
            required=True,
            help="UDP address that receives the packets of balancers.",
        ),
        setting_option(
            "--backend-address",
            type=ADDRESS,
            required=True,
            help="TCP address on which the backend server serves HTTP/1.1.",
        ),
        setting_option(
            "--tls-certificate",
            type=FILE,
            required=True,
            help="Certificate of the service, presented to callers (PEM).",
        ),
        setting_option(
            "--tls-private-key",
            type=FILE,
            required=True,
            help="Private key of that certificate (PEM).",
        ),
        *create_process_options(),
    ]
