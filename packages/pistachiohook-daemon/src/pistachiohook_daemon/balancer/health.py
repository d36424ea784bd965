"""Whether a balancer should be given datagrams."""

from __future__ import annotations

import attrs

from ..endpoints import Health


@attrs.frozen
class Situation:
    """What a balancer knows of itself.

    :param leaving: whether it shuts down
    :param current: whether it was current once since its start
    :param age: age of the last proof of a quorum, in seconds
    :param behind: whether an agent has applied a later revision
    """

    leaving: bool
    current: bool
    age: float
    behind: bool


def judge_health(situation: Situation, stale_after: float) -> Health:
    """Say whether the fabric should send datagrams to a balancer.

    Age alone is no reason to leave: when control has no quorum it is the
    same at every balancer, and all would leave at once. An agent that has
    applied a later revision shows that others are fresh.

    :param situation: what the balancer knows
    :param stale_after: age from which being behind matters, in seconds
    """
    if situation.leaving:
        return Health(False, 'shutting down')
    if not situation.current:
        return Health(False, 'not current since the start')
    stale = situation.age > stale_after
    if stale and situation.behind:
        return Health(False, 'stale, and an agent has a later revision')
    if stale:
        return Health(True, 'serving what was published before the silence')
    return Health(True, 'serving')
