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
    """Return a flag that can also be set by its environment variable."""
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
        help="TCP address that serves metrics, readiness and status; do not expose it "
        "to public networks.",
    )


def create_identity_options() -> list[click.Option]:
    """Return the flags for the name and location of a process."""
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
    """Return the flags for addresses, keys, TLS, logging and shutdown."""
    return [
        setting_option(
            "--peer-address",
            type=ADDRESS,
            required=True,
            help="TCP address that receives the calls of other processes.",
        ),
        create_admin_address_option(),
        setting_option(
            "--keys",
            "key_ring",
            type=KEYS,
            required=True,
            help="Shared secrets of 32 bytes. The first one protects what the process "
            "sends; all are accepted on receipt. Prefer the environment variable: "
            "other users of the machine can read command lines.",
        ),
        setting_option(
            "--configuration-url",
            required=True,
            help="URL of the configuration service.",
        ),
        setting_option(
            "--instance-list-url",
            help="URL of the instance list; defaults to the configuration service.",
        ),
        *_create_peer_tls_options(),
        setting_option(
            "--log-level",
            type=click.Choice([level.value for level in LogLevel]),
            default=LogLevel.INFO.value,
            show_default=True,
            callback=lambda context, parameter, value: LogLevel(value),
            help="Minimum level that is logged.",
        ),
        setting_option(
            "--shutdown-grace-s",
            type=click.FLOAT,
            default=DEFAULT_SHUTDOWN_GRACE_S,
            show_default=True,
            help="Time limit of a graceful shutdown, in seconds.",
        ),
    ]


def _create_peer_tls_options() -> list[click.Option]:
    """Return the flags for TLS between processes."""
    return [
        setting_option(
            "--peer-tls-certificate",
            type=FILE,
            required=True,
            help="Certificate presented to other processes (PEM).",
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
            help="Certificate authorities of the other processes (PEM).",
        ),
    ]
