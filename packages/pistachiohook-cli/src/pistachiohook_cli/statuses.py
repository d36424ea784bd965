"""Exit statuses of the command line."""

from __future__ import annotations

import enum


class Status(enum.IntEnum):
    """What a command has come to."""

    #: It is done.
    DONE = 0
    #: It was refused, or could not be done; nothing was changed.
    REFUSED = 1
    #: The command line, a settings file or the objects are at fault.
    BAD_INPUT = 2
    #: It may have been done or not; the same command may be sent again.
    UNKNOWN_OUTCOME = 3
