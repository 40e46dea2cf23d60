"""Creates the command line application of the agent."""

from __future__ import annotations

from oleanderweir.console import Application
from oleanderweir.console.commands import create_process_commands
from oleanderweir_agent.console.options import create_agent_options
from oleanderweir_agent.factory import create_agent
from oleanderweir_agent.settings import AgentSettings


NAME = "oleanderweir-agent"


def create_application() -> Application:
    """Return the command line application."""
    return Application(
        name=NAME,
        description="Serve callers for one backend server, as its sidecar.",
        commands=create_process_commands(
            role="agent",
            options=create_agent_options(),
            create_settings=AgentSettings,
            create_process=create_agent,
        ),
    )


def main() -> None:
    """Run the command line with the arguments of this process."""
    create_application().run()
