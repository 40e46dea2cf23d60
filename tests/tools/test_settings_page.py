from __future__ import annotations

from tools.settings_page import PAGE
from tools.settings_page import render_page


def test_the_page_agrees_with_the_commands() -> None:
    written = PAGE.read_text(encoding="utf-8")

    assert written == render_page(), "run python -m tools.settings_page"
