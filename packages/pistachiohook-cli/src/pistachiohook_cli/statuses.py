"""Exit statuses of the command line."""

from __future__ import annotations

import enum


class Status(enum.IntEnum):
    """Exit status of a command."""

    #: The command succeeded.
    DONE = 0
    #: The command was refused or failed, and has changed nothing.
    REFUSED = 1
    #: The command line, the settings or the objects are invalid.
    BAD_INPUT = 2
    #: It isn't known whether the command was carried out; it can be retried.
    UNKNOWN_OUTCOME = 3
