"""Flags that balancers and agents have in common."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from oleanderweir.console.parsed_type import ParsedType
from oleanderweir.keys import KeyRing
from oleanderweir.net import SocketAddress
from oleanderweir.settings import LogLevel
from oleanderweir.settings.process_settings import DEFAULT_REGION
from oleanderweir.settings.process_settings import DEFAULT_SHUTDOWN_GRACE_S


ENVIRONMENT_PREFIX = "OLEANDERWEIR_"

ADDRESS = ParsedType(name="HOST:PORT", parse=SocketAddress.parse)
KEYS = ParsedType(name="ID:HEX[,ID:HEX]", parse=KeyRing.parse)
FILE = click.Path(path_type=Path)


def setting_option(*names: str, **arguments: Any) -> click.Option:
    """Return a flag that also reads its environment variable."""
    flag = names[0].removeprefix("--")
    return click.Option(
        list(names),
        envvar=ENVIRONMENT_PREFIX + flag.replace("-", "_").upper(),
        show_envvar=True,
        **arguments,
    )


def create_admin_address_option() -> click.Option:
    """Return the flag for the admin address."""
    return setting_option(
        "--admin-address",
        type=ADDRESS,
        required=True,
        help="TCP address of metrics, readiness and status; keep it off public "
        "networks.",
    )


def create_identity_options() -> list[click.Option]:
    """Return the flags that say who and where a process is."""
    return [
        setting_option(
            "--instance-name", required=True, help="Name in the instance list."
        ),
        setting_option("--availability-zone", required=True, help="Availability zone."),
        setting_option(
            "--region", default=DEFAULT_REGION, show_default=True, help="Region."
        ),
    ]


def create_process_options() -> list[click.Option]:
    """Return the flags of addresses, keys and behaviour."""
    return [
        setting_option(
            "--peer-address",
            type=ADDRESS,
            required=True,
            help="TCP address that takes the calls of other processes.",
        ),
        create_admin_address_option(),
        setting_option(
            "--keys",
            "key_ring",
            type=KEYS,
            required=True,
            help="Shared secrets of 32 bytes; the first one issues, every one is "
            "accepted. Prefer the environment: a command line is public.",
        ),
        setting_option(
            "--configuration-url",
            required=True,
            help="URL of the configuration service.",
        ),
        setting_option(
            "--instance-list-url",
            help="URL of the instance list; the configuration service if absent.",
        ),
        *_create_peer_tls_options(),
        setting_option(
            "--log-level",
            type=click.Choice([level.value for level in LogLevel]),
            default=LogLevel.INFO.value,
            show_default=True,
            callback=lambda context, parameter, value: LogLevel(value),
            help="Least severe level that is logged.",
        ),
        setting_option(
            "--shutdown-grace-s",
            type=click.FLOAT,
            default=DEFAULT_SHUTDOWN_GRACE_S,
            show_default=True,
            help="Longest time, in seconds, for a graceful shutdown.",
        ),
    ]


def _create_peer_tls_options() -> list[click.Option]:
    """Return the flags of TLS between processes."""
    return [
        setting_option(
            "--peer-tls-certificate",
            type=FILE,
            required=True,
            help="Certificate towards other processes (PEM).",
        ),
        setting_option(
            "--peer-tls-private-key",
            type=FILE,
            required=True,
            help="Private key of that certificate (PEM).",
        ),
        setting_option(
            "--peer-tls-ca",
            type=FILE,
            required=True,
            help="Authorities that sign the certificates of other processes (PEM).",
        ),
    ]
