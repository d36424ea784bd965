"""Nodes as the replicated state knows them."""

from __future__ import annotations

import attrs

from ..published import Balancer
from ..published import Target


@attrs.frozen
class Announcement:
    """What a node tells of itself.

    :param node: name of the instance
    :param incarnation: number of this start of the process; grows
    :param target: the target that this agent announces
    :param balancer: the balancer that announces itself
    """

    node: str
    incarnation: int
    target: Target | None = None
    balancer: Balancer | None = None


@attrs.frozen
class Member:
    """A node that is announced.

    :param holder: control instance that keeps its lease
    :param announcement: what the node told of itself
    """

    holder: str
    announcement: Announcement

    @property
    def node(self) -> str:
        """Name of the instance."""
        return self.announcement.node

    @property
    def incarnation(self) -> int:
        """Number of this start of the process."""
        return self.announcement.incarnation


@attrs.frozen
class Departure:
    """A node that is to be withdrawn.

    :param node: name of the instance
    :param incarnation: start of the process that is withdrawn
    :param holder: control instance that kept its lease; when the node has
        moved to another one since, it is not withdrawn
    :param left: whether the node left of its own accord and will not be back
        under this incarnation
    """

    node: str
    incarnation: int
    holder: str
    left: bool = False


@attrs.frozen
class LaggingNode:
    """A node that does not apply the newest revision.

    :param node: name of the instance
    :param applied: published revision that it applies
    """

    node: str
    applied: int


@attrs.frozen
class Progress:
    """What the nodes of one control instance apply.

    Every node that is not behind applies ``revision``.

    :param revision: newest published revision that the instance knows
    :param behind: its nodes that apply less
    """

    revision: int = 0
    behind: tuple[LaggingNode, ...] = ()
