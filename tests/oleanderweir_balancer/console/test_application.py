from __future__ import annotations

import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner
from click.testing import Result

from oleanderweir.console import ExitCode
from oleanderweir.net import SocketAddress
from oleanderweir_balancer.console.application import create_application
from tests.oleanderweir.console.flags import join_flags
from tests.oleanderweir.console.flags import make_process_flags
from tests.oleanderweir.console.flags import to_environment
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers_admin import find_free_address


if TYPE_CHECKING:
    from pathlib import Path


READY_TIMEOUT_S = 30


REQUIRED_FLAGS = [
    "--admin-address",
    "--availability-zone",
    "--back-address",
    "--configuration-url",
    "--instance-name",
    "--keys",
    "--peer-address",
    "--peer-tls-ca",
    "--peer-tls-certificate",
    "--peer-tls-private-key",
]


@pytest.fixture
def flags(tmp_path: Path) -> dict[str, str]:
    return {
        **make_process_flags(tmp_path),
        "--back-address": str(find_free_address()),
    }


def invoke(*arguments: str, environment: dict[str, str] | None = None) -> Result:
    runner = CliRunner(env=environment)
    return runner.invoke(create_application().group, arguments)


def assert_rejected(
    result: Result, code: str, excerpt: str, exit_code: ExitCode
) -> None:
    assert result.exit_code == exit_code
    assert result.stdout == ""
    (line,) = result.stderr.splitlines()
    assert line.startswith(f"[{code}] ")
    assert excerpt in line


@pytest.mark.parametrize("command", ["run", "check"])
@pytest.mark.parametrize(
    ("changes", "code", "excerpt"),
    [
        ({"--back-address": "7100"}, "invalid_address", "write 192.0.2.1:443"),
        ({"--back-address": "localhost:1"}, "invalid_address", "--back-address"),
        ({"--bind-host": "::1"}, "invalid_setting", "--bind-host '::1'"),
        ({"--keys": "1:zz"}, "invalid_keys", "--keys: key 1 is not hex"),
        ({"--keys": "1:5e5e"}, "invalid_keys", "has 2 bytes, not 32"),
        (
            {"--keys": f"{NEW_KEY},{NEW_KEY}"},
            "invalid_keys",
            "two keys have the same ID",
        ),
        ({"--instance-name": "Node"}, "invalid_setting", "write 1 to 63"),
        ({"--configuration-url": "a"}, "invalid_setting", "write http://"),
        ({"--log-level": "loud"}, "invalid_setting", "--log-level"),
        ({"--shutdown-grace-s": "x"}, "invalid_setting", "--shutdown-grace-s"),
        ({"--peer-tls-ca": "ca.pem"}, "invalid_tls", "ca.pem cannot be used"),
        ({"--colour": "blue"}, "unknown_flag", "See --help"),
    ],
    ids=[
        "address-without-host",
        "address-with-name",
        "bind-host-no-ipv4",
        "key-no-hex",
        "key-too-short",
        "key-id-twice",
        "name",
        "url",
        "log-level",
        "grace",
        "no-peer-authorities",
        "unknown-flag",
    ],
)
def test_invalid_flags_are_reported_in_one_line(
    command: str,
    changes: dict[str, str],
    code: str,
    excerpt: str,
    flags: dict[str, str],
) -> None:
    result = invoke(command, *join_flags({**flags, **changes}))

    assert_rejected(result, code, excerpt, ExitCode.INVALID_SETTINGS)


@pytest.mark.parametrize("flag", REQUIRED_FLAGS)
def test_each_missing_setting_is_named_with_its_variable(
    flag: str, flags: dict[str, str]
) -> None:
    del flags[flag]
    (variable,) = to_environment({flag: ""})

    result = invoke("check", *join_flags(flags))

    assert_rejected(
        result,
        "missing_setting",
        f"{flag} is missing; pass it or set {variable}",
        ExitCode.INVALID_SETTINGS,
    )


@pytest.mark.parametrize("arguments", [(), ("fly",)], ids=["no-verb", "unknown-verb"])
def test_an_invalid_command_is_reported_in_one_line(arguments: tuple[str, ...]) -> None:
    result = invoke(*arguments)

    assert_rejected(result, "invalid_usage", "--help", ExitCode.INVALID_SETTINGS)


def test_check_reads_every_setting_from_the_environment(
    flags: dict[str, str],
) -> None:
    result = invoke("check", environment=to_environment(flags))

    assert (result.exit_code, result.stderr) == (ExitCode.OK, "")


def test_check_reports_each_unusable_address_and_file_on_its_own_line(
    flags: dict[str, str],
) -> None:
    back_address = SocketAddress.parse(flags["--back-address"])
    tls = {
        f"--peer-tls-{name}": "missing.pem"
        for name in ("certificate", "private-key", "ca")
    }
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(back_address.sockaddr)
        result = invoke("check", *join_flags({**flags, **tls}))

    assert result.exit_code == ExitCode.INVALID_SETTINGS
    lines = result.stderr.splitlines()
    assert [line.split()[0] for line in lines] == ["[invalid_tls]", "[address_in_use]"]


@pytest.mark.parametrize(
    ("flag", "kind"),
    [
        ("--admin-address", socket.SOCK_STREAM),
        ("--back-address", socket.SOCK_DGRAM),
    ],
    ids=["admin", "back"],
)
def test_run_rejects_an_address_in_use(
    flag: str, kind: socket.SocketKind, flags: dict[str, str]
) -> None:
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind(SocketAddress.parse(flags[flag]).sockaddr)
        if kind == socket.SOCK_STREAM:
            holder.listen()
        result = invoke("run", *join_flags(flags))

    assert result.exit_code == ExitCode.ADDRESS_IN_USE
    (line,) = result.stderr.splitlines()
    assert line.startswith("[address_in_use] ")


def test_status_without_a_process_is_reported_in_one_line() -> None:
    result = invoke("status", "--admin-address", str(find_free_address()))

    assert_rejected(result, "no_answer", "check --admin-address", ExitCode.NO_ANSWER)


def test_a_process_reports_its_status_and_stops_gracefully(
    flags: dict[str, str],
) -> None:
    flags["--shutdown-grace-s"] = "0.1"
    command = [sys.executable, "-m", "oleanderweir_balancer", "run"]
    with subprocess.Popen(
        [*command, *join_flags(flags)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        first = process.stdout.readline()
        status = invoke("status", "--admin-address", flags["--admin-address"])
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=READY_TIMEOUT_S)

    assert '"code": "starting"' in first
    assert '"role": "balancer"' in status.stdout
    assert status.exit_code == ExitCode.NOT_READY
    assert status.stderr.startswith("[not_ready] ")
    assert process.returncode == ExitCode.OK
    assert errors == ""
    assert '"code": "stopped"' in output.splitlines()[-1]
    assert NEW_KEY.partition(":")[2] not in first + output
