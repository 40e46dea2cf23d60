from __future__ import annotations

import pytest

from oleanderweir.keys import InvalidKeyRingError
from oleanderweir.keys import KeyPurpose
from oleanderweir.keys import KeyRing
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers import OLD_KEY


def test_first_key_is_the_issuing_key_and_all_are_found() -> None:
    ring = KeyRing.parse(f"{NEW_KEY}, {OLD_KEY}")

    assert ring.issuing_key.key_id == 2
    assert [ring.key(key_id) is not None for key_id in (1, 2, 3)] == [True, True, False]


def test_purposes_have_different_keys() -> None:
    key = KeyRing.parse(OLD_KEY).issuing_key

    derived = {key.derive(purpose, length_bytes=32) for purpose in KeyPurpose}

    assert len(derived) == len(KeyPurpose)


def test_secret_stays_out_of_repr() -> None:
    assert "11" * 4 not in repr(KeyRing.parse(OLD_KEY))


@pytest.mark.parametrize(
    "text",
    ["", "11", "0:" + "11" * 32, "256:" + "11" * 32, "1:zz", "1:11", f"{OLD_KEY},1:"],
    ids=["empty", "no-id", "id-zero", "id-high", "not-hex", "short", "second-short"],
)
def test_invalid_text_is_rejected(text: str) -> None:
    with pytest.raises(InvalidKeyRingError):
        KeyRing.parse(text)


def test_keys_with_the_same_id_are_rejected() -> None:
    with pytest.raises(InvalidKeyRingError, match="give each key its own"):
        KeyRing.parse(f"{OLD_KEY},1:{'33' * 32}")
