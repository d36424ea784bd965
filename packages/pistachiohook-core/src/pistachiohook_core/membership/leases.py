"""Leases of the nodes that are connected to a control instance."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from .members import Departure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .members import Member

#: Time after the last heartbeat at which a lease expires, in seconds.
LEASE_DURATION = 3.0

#: Lease duration that every known node gets after the control instance has
#: restarted, was paused, or has regained a quorum, in seconds; it leaves the
#: nodes time to reconnect.
LEASE_GRACE = 10.0

#: Time between two ticks above which the control instance itself counts as
#: having been paused, in seconds.
PAUSE_THRESHOLD = 1.0

#: Time without a report of another control instance after which the leader
#: takes over its leases, in seconds.
HOLDER_TIMEOUT = 3.0


class RenewalResult(enum.Enum):
    """Effect of a heartbeat on the lease of its node."""

    #: The lease was renewed.
    RENEWED = 'renewed'
    #: The node, or its incarnation, is new to this instance.
    ANNOUNCED = 'announced'
    #: A newer incarnation of the node is known, so the heartbeat is dropped.
    FENCED = 'fenced'


@attrs.frozen
class Lease:
    """Lease of one node.

    :param incarnation: incarnation of the node's process
    :param holder: control instance that keeps the lease
    :param expires: when the lease expires, in seconds
    """

    incarnation: int
    holder: str
    expires: float


@attrs.define
class LeaseTable:
    """Leases that one control instance keeps.

    Times are seconds of a monotonic clock.

    :param instance: name of the control instance
    :param started: when the table was created
    """

    instance: str
    started: float
    _leases: dict[str, Lease] = attrs.field(factory=dict)
    _holder_reported_at: dict[str, float] = attrs.field(factory=dict)
    _last_tick_at: float = attrs.field(init=False)

    @_last_tick_at.default
    def _initialize_last_tick(self) -> float:
        return self.started

    def renew(self, node: str, incarnation: int, now: float) -> RenewalResult:
        """Renew or create the lease of a node that sent a heartbeat.

        :param node: name of the node
        :param incarnation: incarnation in the heartbeat
        :param now: present time, in seconds
        """
        known = self._leases.get(node)
        if known is not None and known.incarnation > incarnation:
            return RenewalResult.FENCED
        renewed = (
            known is not None
            and known.incarnation == incarnation
            and known.holder == self.instance
        )
        expires = now + LEASE_DURATION
        if known is not None and renewed:
            expires = max(expires, known.expires)
        self._leases[node] = Lease(incarnation, self.instance, expires)
        return RenewalResult.RENEWED if renewed else RenewalResult.ANNOUNCED

    def release(self, node: str, incarnation: int) -> Departure | None:
        """Remove the lease of a node that leaves.

        :param node: name of the node
        :param incarnation: incarnation that leaves
        :returns: the departure, or ``None`` if a newer incarnation is known
        """
        known = self._leases.get(node)
        if known is not None and known.incarnation > incarnation:
            return None
        self._leases.pop(node, None)
        return Departure(node, incarnation, self.instance, left=True)

    def record_holder_report(self, holder: str, now: float) -> None:
        """Record when a control instance has last reported its nodes.

        :param holder: name of the control instance
        :param now: present time, in seconds
        """
        self._holder_reported_at[holder] = now

    def extend_all(self, now: float) -> None:
        """Extend every lease to at least :data:`LEASE_GRACE` from now."""
        grace = now + LEASE_GRACE
        self._leases = {
            node: attrs.evolve(lease, expires=max(lease.expires, grace))
            for node, lease in self._leases.items()
        }

    def reconcile(
        self, members: Iterable[Member], leads: bool, now: float
    ) -> None:
        """Reconcile the table with the members of the replicated state.

        Members of this instance that have no lease for their incarnation get
        one of :data:`LEASE_GRACE`. The lease of a node that moved to another
        control instance is removed. The leader also takes over the leases of
        control instances that no longer report.

        :param members: every member
        :param leads: whether this instance is the leader
        :param now: present time, in seconds
        """
        for member in members:
            known = self._leases.get(member.node)
            if known is not None and known.incarnation > member.incarnation:
                continue
            holder_timed_out = leads and self._has_holder_timed_out(
                member.holder, now
            )
            if holder_timed_out or member.holder == self.instance:
                self._add_lease(member, now)
            elif known is not None and known.holder != self.instance:
                del self._leases[member.node]

    def find_expired(self, now: float) -> tuple[Departure, ...]:
        """Return a departure for every node whose lease has expired.

        The leases stay in the table until :meth:`remove`, since proposing the
        departures may fail and is then retried. After a pause of this
        instance all leases are extended first, since heartbeats could not be
        received.

        :param now: present time, in seconds
        """
        paused = now - self._last_tick_at > PAUSE_THRESHOLD
        self._last_tick_at = now
        if paused:
            self.extend_all(now)
        return tuple(
            Departure(node, lease.incarnation, lease.holder)
            for node, lease in self._leases.items()
            if lease.expires < now
        )

    def remove(self, departure: Departure) -> None:
        """Remove the lease of a node whose departure is committed."""
        known = self._leases.get(departure.node)
        if known is not None and known.incarnation == departure.incarnation:
            del self._leases[departure.node]

    def _has_holder_timed_out(self, holder: str, now: float) -> bool:
        return (
            now - self._holder_reported_at.get(holder, self.started)
            > HOLDER_TIMEOUT
        )

    def _add_lease(self, member: Member, now: float) -> None:
        known = self._leases.get(member.node)
        if known is None or known.incarnation < member.incarnation:
            self._leases[member.node] = Lease(
                member.incarnation, member.holder, now + LEASE_GRACE
            )
