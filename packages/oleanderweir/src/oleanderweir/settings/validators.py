"""Validators of single settings, for attrs fields."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlsplit

from oleanderweir.settings.exceptions import InvalidSettingError


if TYPE_CHECKING:
    from collections.abc import Mapping

    import attrs

    from oleanderweir.net import SocketAddress


NAME_PATTERN = re.compile(r"[a-z0-9-]{1,63}")
URL_SCHEMES = frozenset({"http", "https"})
MAX_SHUTDOWN_GRACE_S = 86_400.0


def flag_name(setting: str) -> str:
    """Return the flag that sets a field of the settings."""
    return "--" + setting.replace("_", "-")


def check_name(instance: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Raise ``InvalidSettingError`` unless the value is a valid name."""
    if NAME_PATTERN.fullmatch(value) is None:
        raise InvalidSettingError(
            f"{flag_name(attribute.name)} '{value}' is not a valid name; "
            "write 1 to 63 characters of a-z, 0-9 and -"
        )


def check_url(
    instance: object, attribute: attrs.Attribute[Any], value: str | None
) -> None:
    """Raise ``InvalidSettingError`` unless the value is an HTTP URL or ``None``."""
    if value is not None and not _is_url(value):
        raise InvalidSettingError(
            f"{flag_name(attribute.name)} '{value}' is not an HTTP URL; "
            "write http://192.0.2.1:8500"
        )


def check_host(
    instance: object, attribute: attrs.Attribute[Any], value: str | None
) -> None:
    """Raise ``InvalidSettingError`` unless the value is an IPv4 address or ``None``."""
    if value is None:
        return
    try:
        ipaddress.IPv4Address(value)
    except ValueError as error:
        raise InvalidSettingError(
            f"{flag_name(attribute.name)} '{value}' is not an IPv4 address; "
            "write 192.0.2.1"
        ) from error


def check_grace(
    instance: object, attribute: attrs.Attribute[Any], value: float
) -> None:
    """Raise ``InvalidSettingError`` unless the value, in seconds, is in range."""
    if not 0.0 <= value <= MAX_SHUTDOWN_GRACE_S:
        raise InvalidSettingError(
            f"{flag_name(attribute.name)} {value} is out of range; "
            f"write seconds between 0 and {MAX_SHUTDOWN_GRACE_S:.0f}"
        )


def check_distinct(addresses: Mapping[str, SocketAddress]) -> None:
    """Raise ``InvalidSettingError`` if two settings have the same TCP address."""
    settings_by_address: dict[SocketAddress, str] = {}
    for setting, address in addresses.items():
        other = settings_by_address.setdefault(address, setting)
        if other != setting:
            raise InvalidSettingError(
                f"{flag_name(other)} and {flag_name(setting)} are both {address}; "
                "give each its own address"
            )


def _is_url(text: str) -> bool:
    """Return whether a text is an HTTP URL with a host and a valid port."""
    try:
        parts = urlsplit(text)
        # The property raises ValueError for an invalid port.
        parts.port  # noqa: B018
    except ValueError:
        return False
    return parts.scheme in URL_SCHEMES and bool(parts.hostname)
