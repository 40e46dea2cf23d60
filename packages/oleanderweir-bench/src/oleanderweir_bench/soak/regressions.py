"""
Seeds that have failed, each with its cause.

Each corrected cause has its own test in virtual time. The seeds run only on demand,
since the processes run in real time and a seed does not reproduce their exact
interleaving. Those that failed before the soak restored the store run without restores.
"""

from __future__ import annotations

from oleanderweir_bench.soak.soak_extras import SoakExtras
from oleanderweir_bench.soak.soak_plan import SoakPlan


REGRESSIONS = (
    # Nine held flows were reset: a restarted agent returned a packet whose route had
    # moved to another service in the meantime, and the balancer took that for a denial.
    SoakPlan(seed=8, restore_probability=0.0),
    # Six held flows were reset, for the same reason as with seed 8.
    SoakPlan(seed=9, restore_probability=0.0),
    # Five held flows were reset: the store was failing while all processes started, and
    # a balancer that knew one agent of five treated its denial as a denial by all.
    SoakPlan(seed=10, restore_probability=0.0),
    # Four held flows were reset: a resumed agent counted the time for which it had been
    # suspended as time in which its backend server was unresponsive.
    SoakPlan(seed=11, restore_probability=0.0),
    # One held flow was reset: a backend server replied late to an opening packet, after
    # another one had opened the flow, and its agent recorded the flow as its own.
    SoakPlan(seed=28, restore_probability=0.0),
    # Seven held flows were reset: all packets from a backend server to its agent were
    # lost for some time, and the agent presumed that the backend server was down.
    SoakPlan(seed=40, restore_probability=0.0),
    # One held flow was reset: a balancer that had been suspended read an opening packet
    # whose copy another balancer had placed, and an agent refused it.
    SoakPlan(seed=501, balancers=8, backends=20, callers=150),
    # One request ran twice, in one run of two. The cause is not known: no trace was
    # kept then. Perhaps two backend servers drew the same sequence number, which the
    # soak now prevents.
    SoakPlan(seed=8007, extras=SoakExtras.draw(8007)),
    # A backend server got up to 80 new flows a second instead of 5, a second after an
    # evacuation that was ordered among restores of the store had been withdrawn, in one
    # run of four. Not traced; the order probably got the revision of a withdrawn one.
    SoakPlan(seed=8020, extras=SoakExtras.draw(8020)),
)
