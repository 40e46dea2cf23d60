"""The text that a stand-in backend server publishes."""

from __future__ import annotations


LINES = 60
BULLETIN = "Boletin horario\n" + "".join(
    f"{number:03d} UTC-TAI -37 s, next leap second: none announced\n"
    for number in range(1, LINES + 1)
)
