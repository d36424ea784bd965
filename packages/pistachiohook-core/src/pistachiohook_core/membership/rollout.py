"""How far a revision is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .members import LaggingNode
from .members import Progress

if TYPE_CHECKING:
    from ..configuration.state import State

#: Nodes that are named of those that do not apply a revision.
NAMED_MAX = 1000


@attrs.frozen
class Rollout:
    """Nodes that apply a revision, and those that do not.

    :param revision: published revision that is asked for
    :param nodes: announced nodes
    :param in_force: nodes that apply the revision or a later one
    :param behind: the others, at most :data:`NAMED_MAX`
    """

    revision: int
    nodes: int
    in_force: int
    behind: tuple[LaggingNode, ...] = ()


def measure_rollout(state: State, revision: int) -> Rollout:
    """Count the nodes that apply a revision.

    :param state: the replicated state, with what each control instance has
        reported of its nodes
    :param revision: published revision
    """
    lagging = {
        (holder, laggard.node): laggard.applied
        for holder, progress in state.progress.items()
        for laggard in progress.behind
    }
    behind = []
    for member in state.members.values():
        newest = state.progress.get(member.holder, Progress()).revision
        applied = lagging.get((member.holder, member.node), newest)
        if applied < revision:
            behind.append(LaggingNode(member.node, applied))
    return Rollout(
        revision=revision,
        nodes=len(state.members),
        in_force=len(state.members) - len(behind),
        behind=tuple(sorted(behind, key=lambda it: it.node)[:NAMED_MAX]),
    )
