from __future__ import annotations

from oleanderweir.keys import KeyRing


OLD_KEY = "1:" + "11" * 32
NEW_KEY = "2:" + "22" * 32


def make_key_ring(text: str = OLD_KEY) -> KeyRing:
    return KeyRing.parse(text)


class FakeClock:
    """A clock that stands still at ``now``, in seconds."""

    def __init__(self, *, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now
