from __future__ import annotations

import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import pytest
import trio

from oleanderweir_bench.exceptions import ProcessFailedError
from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.processes import SupervisedProcess


SLEEP = 'import time; print(\'{"event": "ready"}\', flush=True); time.sleep(600)'
IGNORE_SIGTERM = (
    "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); " + SLEEP
)
FAIL = "import sys; sys.exit('no such flag')"

KILLED_BENCH = f"""
import os, signal, sys, trio
from oleanderweir_bench.processes import ProcessSupervisor

async def main():
    async with ProcessSupervisor() as supervisor:
        process = await supervisor.start("sleeper", [sys.executable, "-c", {SLEEP!r}])
        await process.wait_line("ready")
        print(process.process.pid, flush=True)
        os.kill(os.getpid(), signal.SIGKILL)

trio.run(main)
"""


def read_state(pid: int) -> str:
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except (FileNotFoundError, ProcessLookupError):
        return ""
    return stat.rpartition(") ")[2][0]


def is_alive(pid: int) -> bool:
    return read_state(pid) not in {"", "Z"}


async def test_output_is_collected_as_json() -> None:
    async with ProcessSupervisor() as supervisor:
        process = await supervisor.start("sleeper", [sys.executable, "-c", SLEEP])
        await process.wait_line("ready")

    assert process.lines[0].fields == {"event": "ready"}


@pytest.mark.parametrize(
    "code", [SLEEP, IGNORE_SIGTERM], ids=["exits-on-sigterm", "ignores-sigterm"]
)
async def test_leaving_the_context_stops_every_process(code: str) -> None:
    started: list[SupervisedProcess] = []

    async def start_and_fail() -> None:
        async with ProcessSupervisor(stop_grace_s=0.1) as supervisor:
            process = await supervisor.start("sleeper", [sys.executable, "-c", code])
            started.append(process)
            await process.wait_line("ready")
            process.freeze()
            raise KeyError

    with pytest.raises(KeyError):
        await start_and_fail()

    assert not is_alive(started[0].process.pid)


async def test_a_thawed_process_continues() -> None:
    async with ProcessSupervisor() as supervisor:
        process = await supervisor.start("sleeper", [sys.executable, "-c", SLEEP])
        await process.wait_line("ready")
        process.freeze()
        while read_state(process.process.pid) != "T":
            await trio.sleep(0.001)
        process.thaw()
        while read_state(process.process.pid) == "T":
            await trio.sleep(0.001)
        assert process.is_running
        process.kill()
        await process.wait()
        assert not process.is_running


async def test_processes_are_started_by_the_main_thread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    threads: list[threading.Thread] = []
    start = subprocess.Popen

    def record_thread(*arguments: Any, **options: Any) -> subprocess.Popen[bytes]:
        threads.append(threading.current_thread())
        return start(*arguments, **options)

    monkeypatch.setattr(subprocess, "Popen", record_thread)
    async with ProcessSupervisor() as supervisor:
        await supervisor.start("sleeper", [sys.executable, "-c", SLEEP])

    assert threads == [threading.main_thread()]


async def test_killing_the_bench_kills_its_processes() -> None:
    async with ProcessSupervisor() as supervisor:
        bench = await supervisor.start("bench", [sys.executable, "-c", KILLED_BENCH])
        await bench.wait()
        while not bench.lines:
            await trio.sleep(0.001)

        pid = int(bench.lines[0].text)
        while is_alive(pid):
            await trio.sleep(0.001)


async def test_an_early_exit_is_reported_with_its_exit_code() -> None:
    async with ProcessSupervisor() as supervisor:
        process = await supervisor.start("failing", [sys.executable, "-c", FAIL])
        with pytest.raises(ProcessFailedError, match=r"failing exited with code 1"):
            await process.wait_line("ready")


async def test_waiting_for_a_missing_line_times_out() -> None:
    async with ProcessSupervisor() as supervisor:
        process = await supervisor.start("sleeper", [sys.executable, "-c", SLEEP])
        with pytest.raises(
            ProcessFailedError, match="no line with 'absent' within 0.05 s"
        ):
            await process.wait_line("absent", timeout_s=0.05)
