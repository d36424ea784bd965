"""Membership records of the nodes in the replicated state."""

from __future__ import annotations

import attrs

from ..published import Balancer
from ..published import Target


@attrs.frozen
class Announcement:
    """Announcement of a node.

    :param node: name of the instance
    :param incarnation: number of the process start; a later start has a
        higher one
    :param target: the target that the node announces, when it is an agent
    :param balancer: the node itself, when it is a balancer
    """

    node: str
    incarnation: int
    target: Target | None = None
    balancer: Balancer | None = None


@attrs.frozen
class Member:
    """A node that has joined.

    :param holder: control instance that keeps its lease
    :param announcement: the node's latest announcement
    """

    holder: str
    announcement: Announcement

    @property
    def node(self) -> str:
        """Name of the instance."""
        return self.announcement.node

    @property
    def incarnation(self) -> int:
        """Incarnation of the node's process."""
        return self.announcement.incarnation


@attrs.frozen
class Departure:
    """A node that is to be removed from the members.

    :param node: name of the instance
    :param incarnation: incarnation of the process that is removed
    :param holder: control instance that kept its lease; the node is not
        removed on expiry when it has since moved to another one
    :param left: whether the node left by itself and will not return under
        this incarnation; otherwise its lease has expired
    """

    node: str
    incarnation: int
    holder: str
    left: bool = False


@attrs.frozen
class LaggingNode:
    """A node that has not yet applied the newest revision.

    :param node: name of the instance
    :param applied: published revision that it applies
    """

    node: str
    applied: int


@attrs.frozen
class Progress:
    """Published revisions that the nodes of one control instance apply.

    Every node that is not listed in ``behind`` applies ``revision``.

    :param revision: newest published revision that the instance knows
    :param behind: its nodes that apply an earlier revision
    """

    revision: int = 0
    behind: tuple[LaggingNode, ...] = ()
