from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

from oleanderweir_platform.early_start import SETTINGS_VARIABLE


if TYPE_CHECKING:
    from pathlib import Path


PROGRAM = """
import os, signal
from oleanderweir_platform.early_start import start_early
start_early("DatagramListen")
os.kill(os.getpid(), signal.SIGHUP)
print("running")
"""


def find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_a_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    settings = tmp_path / "settings.json"
    fields = {
        "Ip": "127.0.0.1",
        "Listen": {"DatagramListen": f"127.0.0.1:{find_free_port()}"},
        "InternalPorts": [find_free_port()],
    }
    settings.write_text(json.dumps(fields), "utf-8")

    finished = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        capture_output=True,
        text=True,
        check=False,
    )

    assert finished.returncode != -signal.SIGHUP
    assert finished.stdout == "running\n"
