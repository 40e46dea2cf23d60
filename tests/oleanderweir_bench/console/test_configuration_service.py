from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from click.testing import CliRunner

from oleanderweir_bench.console.commands.configuration_service import (
    configuration_service,
)


if TYPE_CHECKING:
    from pathlib import Path


def test_rejected_ticket_stops_the_command(tmp_path: Path) -> None:
    (tmp_path / "1.json").write_text('{"ticket": 1}')

    result = CliRunner().invoke(configuration_service, ["--tickets", str(tmp_path)])

    assert result.exit_code == 1
    assert "1.json: [invalid_ticket] ticket: has no entries" in result.output


def test_address_in_use_stops_the_command(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        arguments = ["--tickets", str(tmp_path), "--address", address]
        result = CliRunner().invoke(configuration_service, arguments)

    assert result.exit_code == 1
    assert "address_in_use" in result.output
