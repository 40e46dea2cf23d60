"""
Write ``docs/SETTINGS.md`` from the commands of both binaries.

Run ``python -m tools.settings_page``; a test compares the page with the commands.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from oleanderweir.console import ExitCode
from oleanderweir_agent.console.application import (
    create_application as create_agent_application,
)
from oleanderweir_balancer.console.application import (
    create_application as create_balancer_application,
)
from tools.check import ROOT


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.console import Application


PAGE = ROOT / "docs" / "SETTINGS.md"
HEAD = """\
# Settings

Written by `python -m tools.settings_page` from the commands; change the commands.
Each flag also reads its environment variable; a flag that is given wins.
"""
TABLE_HEAD = """\
| flag | variable | value | default | meaning |
| --- | --- | --- | --- | --- |
"""


def render_page() -> str:
    """Return the whole page."""
    applications = [create_balancer_application(), create_agent_application()]
    sections = [_render_application(application) for application in applications]
    return "\n".join([HEAD, *sections, _render_exit_codes()])


def _render_application(application: Application) -> str:
    """Return a section with one table for each command."""
    parts = [f"## {application.name}\n"]
    commands_by_table: dict[str, str] = {}
    for command in application.commands:
        parts.append(f"### `{application.name} {command.name}`\n")
        parts.append(f"{command.description}\n")
        table = _render_parameters(command.parameters)
        first_command = commands_by_table.setdefault(table, command.name)
        parts.append(
            table
            if first_command == command.name
            else f"Takes the flags of `{first_command}`.\n"
        )
    return "\n".join(parts)


def _render_parameters(parameters: Iterable[click.Parameter]) -> str:
    """Return the table of a command."""
    context = click.Context(click.Command("page"))
    rows = [_render_row(parameter, context) for parameter in parameters]
    return TABLE_HEAD + "".join(rows)


def _render_row(parameter: click.Parameter, context: click.Context) -> str:
    """Return the row of one flag or argument."""
    metavar = _render_value(parameter, context)
    if not isinstance(parameter, click.Option):
        return f"| `{metavar}` | | | required | |\n"
    default = "required" if parameter.required else _render_default(parameter)
    cells = [f"`{parameter.opts[0]}`", f"`{parameter.envvar}`", f"`{metavar}`"]
    return f"| {' | '.join([*cells, default, parameter.help or ''])} |\n"


def _render_value(parameter: click.Parameter, context: click.Context) -> str:
    """Return what stands for the value of a parameter."""
    if isinstance(parameter.type, click.Choice):
        return " / ".join(str(choice) for choice in parameter.type.choices)
    return parameter.make_metavar(context)


def _render_default(option: click.Option) -> str:
    """Return the default of an option, or nothing."""
    return f"`{option.default}`" if option.show_default else "none"


def _render_exit_codes() -> str:
    """Return the section of exit codes."""
    rows = [f"| {code.value} | `{code.name.lower()}` |\n" for code in ExitCode]
    return "## Exit codes\n\n| code | name |\n| --- | --- |\n" + "".join(rows)


def main() -> None:
    """Write the page."""
    PAGE.write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
