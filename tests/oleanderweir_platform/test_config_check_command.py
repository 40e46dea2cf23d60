from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from click.testing import CliRunner

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir_platform import config_check_command
from oleanderweir_platform.__main__ import main
from oleanderweir_platform.config_check_command import fetch_document
from tests.oleanderweir_platform.test_config_document import make_fields


if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result


class FakeSource:
    """Lists the given configurations, and an evacuation order after them."""

    def __init__(self, *documents: bytes) -> None:
        self.documents = documents

    async def list(self, topic: Topic) -> Listing:
        changes = tuple(
            Change(name="op/config", revision=revision, document=document)
            for revision, document in enumerate(self.documents, 1)
        )
        order = Change(name="op/evacuate/a", revision=9, document=b"{}")
        return Listing(topic=topic, revision=9, documents=(*changes, order))

    async def watch(self, topic: Topic, *, after: int, wait_s: float) -> Changes:
        raise NotImplementedError


def write(path: Path, fields: object) -> str:
    path.write_text(json.dumps(fields), encoding="utf-8")
    return str(path)


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["check-config", *arguments])


@pytest.fixture
def sound(tmp_path: Path) -> str:
    return write(tmp_path / "new.json", make_fields())


def test_a_sound_configuration_exits_with_0(sound: str) -> None:
    result = run(sound)

    assert result.exit_code == 0, result.output
    assert result.output == "0 errors, 0 warnings, 0 changes\n"


def test_errors_come_first_and_exit_with_1(tmp_path: Path, sound: str) -> None:
    fields: dict[str, Any] = make_fields()
    fields["Services"][0]["MaxConns"] = 0
    fields["Routes"][1].update(Name="\ud800\n\u00e5", TargetLatencyMs=3000)

    result = run(write(tmp_path / "odd.json", fields), "--in-force", sound)

    assert result.exit_code == 1
    lines = result.output.splitlines()
    assert lines[0].startswith("error [no_connections] service feed, MaxConns: ")
    severities = [line.split()[0] for line in lines]
    assert severities == ["error"] * 2 + ["warning"] + ["change"] * 3 + ["2"]


def test_findings_are_printed_as_json(tmp_path: Path, sound: str) -> None:
    fields = {**make_fields(), "Version": 8}
    fields["Routes"][0]["TimeoutMs"] = 3000

    result = run(write(tmp_path / "next.json", fields), "--in-force", sound, "--json")

    assert result.exit_code == 0
    assert json.loads(result.output) == {
        "severity": "change",
        "code": "route_changed",
        "place": "route r1 (198.18.0.1:443)",
        "field": "TimeoutMs",
        "message": "from 2 s to 3 s",
    }


def test_a_file_that_cannot_be_read_exits_with_2(tmp_path: Path, sound: str) -> None:
    missing = str(tmp_path / "missing.json")

    assert run(missing).exit_code == 2
    assert "can't read" in run(sound, "--in-force", missing).output
    assert run(sound, "--in-force", str(tmp_path)).exit_code == 2


@pytest.mark.parametrize("fields", [[], {**make_fields(), "Version": 0}])
def test_an_invalid_version_in_force_exits_with_2(
    fields: object, tmp_path: Path, sound: str
) -> None:
    result = run(sound, "--in-force", write(tmp_path / "old.json", fields))

    assert result.exit_code == 2
    assert "can't be in force" in result.output


def test_an_address_of_a_store_that_is_none_exits_with_2(sound: str) -> None:
    assert run(sound, "--store", "nowhere").exit_code == 2


def test_the_version_in_force_is_read_from_the_store(
    sound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    source = FakeSource(json.dumps(make_fields()).encode())
    monkeypatch.setattr(config_check_command, "StoreClient", lambda *, address: source)

    result = run(sound, "--store", "192.0.2.1:80")

    assert result.exit_code == 1
    assert "[version_not_higher]" in result.output


async def test_a_store_without_a_document_has_no_version_in_force() -> None:
    assert await fetch_document(FakeSource()) is None
