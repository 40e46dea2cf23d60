from __future__ import annotations

from tools.settings_page import PAGE
from tools.settings_page import render_page


def test_page_matches_the_commands() -> None:
    page = PAGE.read_text(encoding="utf-8")

    assert page == render_page(), "run python -m tools.settings_page"
