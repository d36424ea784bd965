"""Counts the nodes that apply a published revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .members import LaggingNode
from .members import Progress

if TYPE_CHECKING:
    from ..configuration.state import State

#: Maximum number of nodes that are listed as not applying a revision.
BEHIND_MAX = 1000


@attrs.frozen
class Rollout:
    """How many nodes apply a revision, and which don't.

    :param revision: the published revision in question
    :param nodes: number of announced nodes
    :param in_force: number of nodes that apply it or a later revision
    :param behind: the other nodes, sorted by name; at most
        :data:`BEHIND_MAX`
    """

    revision: int
    nodes: int
    in_force: int
    behind: tuple[LaggingNode, ...] = ()


def measure_rollout(state: State, revision: int) -> Rollout:
    """Count the nodes that apply a revision.

    :param state: the replicated state, with the progress reported by each
        control instance
    :param revision: the published revision in question
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
        behind=tuple(sorted(behind, key=lambda it: it.node)[:BEHIND_MAX]),
    )
