"""Present and former owners of buckets, and candidate holders of flows."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from ..published import PublishedState
from ..published import TargetState
from .buckets import build_table
from .flow_messages import AgentIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..published import Service
    from ..published import Target
    from .buckets import BucketTable

#: Time after a change of a bucket's owner during which the new owner may not
#: know all flows of the bucket, in seconds. Longer than a published revision
#: takes to reach all nodes.
SETTLING_TIME = 10.0

#: Maximum number of former tables that are kept.
FORMER_TABLES_MAX = 32

#: Maximum number of peers that one flow is offered to.
CANDIDATES_MAX = 8


@attrs.frozen
class FormerTable:
    """A table that a newer one has replaced.

    :param table: the table
    :param replaced_at: when it was replaced, in seconds on the clock of the
        agent
    """

    table: BucketTable
    replaced_at: float


@attrs.define
class Ownership:
    """One agent's view of who owns the buckets of its service.

    Times are in seconds on the clock of the agent.

    :param service: name of the service
    :param target: name of the agent's target
    :param incarnation: number of the agent's start
    """

    service: str
    target: str
    incarnation: int
    published: PublishedState = attrs.field(factory=PublishedState, init=False)
    table: BucketTable | None = attrs.field(default=None, init=False)
    _former_tables: tuple[FormerTable, ...] = attrs.field(
        default=(), init=False
    )
    _started_at: float | None = attrs.field(default=None, init=False)
    _targets_by_agent: dict[AgentIncarnation, Target] = attrs.field(
        factory=dict, init=False
    )
    _lagging_since: float | None = attrs.field(default=None, init=False)

    @property
    def revision(self) -> int:
        """Published revision that this agent has applied."""
        return self.published.revision

    def apply_published(self, published: PublishedState, now: float) -> bool:
        """Apply a published state.

        :returns: whether the table of the service has changed
        """
        self.published = published
        self._lagging_since = None
        service = _find_service(published, self.service)
        members = tuple(
            sorted(
                (
                    target
                    for target in published.targets
                    if target.service == self.service
                ),
                key=lambda target: target.name,
            )
        )
        if service is None or self._is_table_current(service, members):
            return False
        if self.table is not None:
            self._add_former(self.table, now)
        if self._started_at is None:
            self._started_at = now
        self.table = build_table(service, members, self.table)
        self._targets_by_agent = {
            AgentIncarnation(target.agent, target.incarnation): target
            for target in self.table.targets
        }
        return True

    def is_self(self, target: Target) -> bool:
        """Return whether a target is this agent in its present incarnation."""
        return (
            target.name == self.target
            and target.incarnation == self.incarnation
        )

    def accepts_new_flows(self) -> bool:
        """Return whether this agent's target accepts new flows."""
        table = self.table
        return table is not None and any(
            self.is_self(target) and target.state is TargetState.SERVING
            for target in table.targets
        )

    def find_peer(self, agent: AgentIncarnation) -> Target | None:
        """Return the published target of an agent, or None."""
        return self._targets_by_agent.get(agent)

    def is_settled(self, bucket: int, now: float) -> bool:
        """Return whether this agent knows all flows of a bucket that it owns.

        That is so when it built its first table, and became the owner of the
        bucket, at least :data:`SETTLING_TIME` ago.
        """
        if self._started_at is None or now - self._started_at < SETTLING_TIME:
            return False
        return all(
            owner is not None and self.is_self(owner)
            for owner in self._list_former_owners(bucket, now)
        )

    def is_lagging(self, version: int, now: float) -> bool:
        """Return whether a peer has applied a newer revision.

        False again once :data:`SETTLING_TIME` has passed since that was first
        seen, and no published state has been applied here.

        :param version: published revision that a peer has applied
        """
        if version <= self.revision:
            return False
        if self._lagging_since is None:
            self._lagging_since = now
        return now - self._lagging_since < SETTLING_TIME

    def list_candidates(self, bucket: int, now: float) -> tuple[Target, ...]:
        """Return the peers that may hold flows of a bucket, likeliest first.

        Former owners come first, the latest before the others; then all other
        targets by their rank for the bucket.
        """
        if self.table is None:
            return ()
        live = {target.name: target for target in self.table.targets}
        former = (
            owner.name
            for owner in self._list_former_owners(bucket, now)
            if owner is not None
        )
        ranked = (target.name for target in self.table.rank_targets(bucket))
        names = dict.fromkeys(itertools.chain(former, ranked))
        return tuple(
            live[name]
            for name in names
            if name in live and name != self.target
        )

    def _is_table_current(
        self, service: Service, members: tuple[Target, ...]
    ) -> bool:
        table = self.table
        return (
            table is not None
            and table.service == service
            and table.targets == members
        )

    def _add_former(self, table: BucketTable, now: float) -> None:
        recent = (
            former
            for former in self._former_tables
            if now - former.replaced_at < SETTLING_TIME
        )
        kept = (FormerTable(table, now), *recent)
        self._former_tables = kept[:FORMER_TABLES_MAX]

    def _list_former_owners(
        self, bucket: int, now: float
    ) -> Iterator[Target | None]:
        return (
            former.table.find_owner(bucket)
            for former in self._former_tables
            if now - former.replaced_at < SETTLING_TIME
        )


def _find_service(published: PublishedState, name: str) -> Service | None:
    found = (one for one in published.services if one.name == name)
    return next(found, None)
