from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import pytest

from oleanderweir.settings import InvalidTlsMaterialError
from tests.oleanderweir.settings.tls_files import ISSUED_AT
from tests.oleanderweir.settings.tls_files import VALIDITY
from tests.oleanderweir.settings.tls_files import write_tls_files


if TYPE_CHECKING:
    from datetime import datetime
    from pathlib import Path


def test_valid_files_pass_the_check(tmp_path: Path) -> None:
    write_tls_files(tmp_path).check(now=ISSUED_AT + timedelta(days=1))


@pytest.mark.parametrize(
    ("now", "message"),
    [
        (ISSUED_AT + VALIDITY + timedelta(seconds=1), "issue a new certificate"),
        (ISSUED_AT - timedelta(seconds=1), "check the machine's clock"),
    ],
    ids=["expired", "not-yet-valid"],
)
def test_certificates_outside_their_validity_are_rejected(
    now: datetime, message: str, tmp_path: Path
) -> None:
    with pytest.raises(InvalidTlsMaterialError, match=message):
        write_tls_files(tmp_path).check(now=now)


@pytest.mark.parametrize("field", ["certificate", "private_key", "authorities"])
@pytest.mark.parametrize("content", [None, b"no PEM"], ids=["missing", "not-pem"])
def test_errors_name_the_unusable_file(
    field: str, content: bytes | None, tmp_path: Path
) -> None:
    path = tmp_path / "other.pem"
    if content is not None:
        path.write_bytes(content)
    material = attrs.evolve(write_tls_files(tmp_path), **{field: path})

    with pytest.raises(InvalidTlsMaterialError, match=r"other\.pem .*; use"):
        material.check(now=ISSUED_AT)


def test_a_private_key_of_another_certificate_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "other").mkdir()
    other = write_tls_files(tmp_path / "other")
    material = attrs.evolve(write_tls_files(tmp_path), private_key=other.private_key)

    with pytest.raises(InvalidTlsMaterialError, match="MISMATCH"):
        material.check(now=ISSUED_AT)
