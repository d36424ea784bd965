"""What the agents of a service tell each other of their slots."""

from __future__ import annotations

import attrs

#: Time between two reports of free slots, in seconds.
REPORT_INTERVAL = 0.25

#: Most peers that one agent reports to.
REPORTED_PEERS_MAX = 16


@attrs.frozen
class FreeSlotsReport:
    """An agent's free slots.

    :param target: name of its target
    :param free: slots that any request may take
    :param free_for_long: slots that a long request may take
    """

    target: str
    free: int
    free_for_long: int
