"""Reports of free slots between the agents of a service."""

from __future__ import annotations

import attrs

#: Time between two reports of free slots, in seconds.
REPORT_INTERVAL = 0.25

#: Most peers that one agent reports to.
REPORTED_PEERS_MAX = 16


@attrs.frozen
class FreeSlotsReport:
    """Free slots at an agent's target.

    :param target: name of the target
    :param free: slots that any request may take
    :param free_for_long: slots that a long request may take
    """

    target: str
    free: int
    free_for_long: int
