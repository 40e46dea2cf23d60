from __future__ import annotations

import enum


class Fault(enum.Enum):
    """A fault that can be injected at a step."""

    KILL = "the remote process is killed; its connections close"
    RESET = "the connection is reset"
    CUT = "no data arrives from this step on"
    FREEZE = "frozen until long after the deadline, then resumed"
    LATE = "delayed just past the deadline"
    DELAY = "delayed within the deadline"
    CANCEL = "the caller cancels the request"
    DRAIN = "the agent that runs the request starts to drain"
    SHED = "the backend server sheds the request and states that it did not run"
    SHED_UNPROVEN = "the backend server responds 503 without that statement"
    FOREIGN_DATA = "bytes of another response are inserted"
    DUPLICATE = "the message is delivered twice"
