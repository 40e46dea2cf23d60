from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from oleanderweir_platform.early_start import SETTINGS_VARIABLE


if TYPE_CHECKING:
    from pathlib import Path


# Sends SIGHUP to itself whenever a program starts to import a module, and exits before
# the program runs its event loop.
STARTER = """
import __future__, importlib.abc, os, runpy, signal, sys

class SignallingFinder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name in ("oleanderweir_platform", sys.argv[1]):
            return None
        os.kill(os.getpid(), signal.SIGHUP)
        if name == f"{sys.argv[1]}_process":
            print("running", flush=True)
            os._exit(0)
        return None

sys.meta_path.insert(0, SignallingFinder())
runpy.run_module(sys.argv[1], run_name="__main__")
"""


def find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@pytest.mark.parametrize("program", ["agent", "balancer"])
def test_a_reload_signal_does_not_end_a_process_that_imports_its_modules(
    program: str, tmp_path: Path
) -> None:
    settings = tmp_path / "settings.json"
    address = f"127.0.0.1:{find_free_port()}"
    fields = {
        "Ip": "127.0.0.1",
        "Listen": {"DatagramListen": address, "outbound": address},
        "InternalPorts": [find_free_port()],
    }
    settings.write_text(json.dumps(fields), "utf-8")

    finished = subprocess.run(
        [sys.executable, "-c", STARTER, f"oleanderweir_platform.{program}"],
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        capture_output=True,
        text=True,
        check=False,
    )

    assert finished.returncode == 0, finished.stderr
    assert finished.stdout == "running\n"
