from __future__ import annotations

import enum


class Fault(enum.Enum):
    """What happens at a step."""

    KILL = "the other side dies; its connections end"
    RESET = "the connection is reset"
    CUT = "silence from here on"
    FREEZE = "frozen until long after the deadline, then goes on"
    LATE = "delayed just past the deadline"
    DELAY = "delayed within the deadline"
    CANCEL = "the caller gives the request up"
    DRAIN = "the agent that runs the request begins to drain"
    SHED = "the backend server sheds and says that nothing ran"
    SHED_UNPROVEN = "the backend server answers 503 without that proof"
    FOREIGN_DATA = "bytes of another answer come in between"
    DUPLICATE = "the message comes twice"
