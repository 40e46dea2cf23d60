"""A command-line parameter type for addresses."""

from __future__ import annotations

import click

from oleanderweir.net import InvalidAddressError
from oleanderweir.net import SocketAddress


class AddressType(click.ParamType[SocketAddress]):
    """Parses ``HOST:PORT`` with an IPv4 host."""

    name = "host:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> SocketAddress:
        """Return the address; fail with a usage error."""
        if isinstance(value, SocketAddress):
            return value
        try:
            return SocketAddress.parse(str(value))
        except InvalidAddressError as error:
            self.fail(error.message, param, ctx)


ADDRESS = AddressType()
