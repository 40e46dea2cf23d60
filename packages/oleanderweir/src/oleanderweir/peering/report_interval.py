"""
The interval between the load reports of an agent.

Every balancer receives the reports of all agents. The interval grows with the number of
agents, so that the reports of a large fleet don't overload its smallest balancer.
"""

from __future__ import annotations


# Reports of the whole fleet that one balancer receives in a second; they take about an
# eightieth of the processor of the smallest balancer. Agents correct a balancer that
# placed a flow by an old report.
MAX_REPORTS_PER_S = 100.0
# Interval of reports while the load doesn't change, in a small fleet.
KEEPALIVE_S = 0.3
# An agent that sends no report for this many intervals, and for at least
# ``MIN_SILENCE_S``, is treated as lost.
SILENT_INTERVALS = 3.0
MIN_SILENCE_S = 1.0


def report_interval_s(fleet_size: int) -> float:
    """Return the shortest time between two reports of one agent, in seconds."""
    return fleet_size / MAX_REPORTS_PER_S


def keepalive_s(fleet_size: int) -> float:
    """Return the longest time between two reports of one agent, in seconds."""
    return max(KEEPALIVE_S, report_interval_s(fleet_size))


def silence_s(fleet_size: int) -> float:
    """Return after how many seconds without a report balancers avoid an agent."""
    return max(MIN_SILENCE_S, SILENT_INTERVALS * keepalive_s(fleet_size))
