"""
How often agents report their load.

Answers the load of a large fleet on its smallest balancer: each gets the reports of all
agents, so they come more rarely the more agents there are.
"""

from __future__ import annotations


# Reports of the whole fleet that one balancer gets in a second; about an eightieth of
# the smallest one's processor. Agents correct balancers that chose by an old one.
MAX_REPORTS_A_SECOND = 100.0
# Reports without a change.
KEEPALIVE_S = 0.3
# An agent that reported nothing for so many intervals, and at least for
# ``MIN_SILENCE_S``, is taken as gone.
SILENT_INTERVALS = 3.0
MIN_SILENCE_S = 1.0


def report_interval_s(fleet_size: int) -> float:
    """Return the least time between two reports of one agent, in seconds."""
    return fleet_size / MAX_REPORTS_A_SECOND


def keepalive_s(fleet_size: int) -> float:
    """Return the longest time between two reports of one agent, in seconds."""
    return max(KEEPALIVE_S, report_interval_s(fleet_size))


def silence_s(fleet_size: int) -> float:
    """Return how long a balancer waits for a report before it avoids an agent."""
    return max(MIN_SILENCE_S, SILENT_INTERVALS * keepalive_s(fleet_size))
