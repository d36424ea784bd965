"""Leases of the nodes that a control instance hears."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from .members import Departure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .members import Member

#: Time without a heartbeat after which a lease has run out, in seconds.
LEASE_DURATION = 3.0

#: Lease that every known node gets after a restart, a pause or a regained
#: quorum of the control instance, in seconds; time to connect again.
LEASE_GRACE = 10.0

#: Time without a tick after which the instance itself has paused, in seconds.
PAUSE_BOUND = 1.0

#: Silence after which the leases of another control instance are taken over,
#: in seconds.
HOLDER_TIMEOUT = 3.0


class Renewal(enum.Enum):
    """What a heartbeat has done."""

    #: The lease goes on.
    RENEWED = 'renewed'
    #: The node is new here and is to be announced.
    ANNOUNCED = 'announced'
    #: A newer incarnation of the node is known; the heartbeat is dropped.
    FENCED = 'fenced'


@attrs.frozen
class Lease:
    """One lease.

    :param incarnation: start of the process that holds it
    :param holder: control instance that keeps it
    :param expires: when it runs out, in seconds
    """

    incarnation: int
    holder: str
    expires: float


@attrs.define
class LeaseTable:
    """Leases that one control instance keeps.

    Times are seconds of one clock that never goes back.

    :param instance: name of the control instance
    :param started: when the table was made
    """

    instance: str
    started: float
    _leases: dict[str, Lease] = attrs.field(factory=dict)
    _heard: dict[str, float] = attrs.field(factory=dict)
    _ticked: float = attrs.field(init=False)

    @_ticked.default
    def _start_ticks(self) -> float:
        return self.started

    def renew(self, node: str, incarnation: int, now: float) -> Renewal:
        """Take a heartbeat."""
        known = self._leases.get(node)
        if known is not None and known.incarnation > incarnation:
            return Renewal.FENCED
        same = (
            known is not None
            and known.incarnation == incarnation
            and known.holder == self.instance
        )
        expires = now + LEASE_DURATION
        if known is not None and same:
            expires = max(expires, known.expires)
        self._leases[node] = Lease(incarnation, self.instance, expires)
        return Renewal.RENEWED if same else Renewal.ANNOUNCED

    def release(self, node: str, incarnation: int) -> Departure | None:
        """Take a leave.

        :returns: the departure, unless a newer incarnation is known
        """
        known = self._leases.get(node)
        if known is not None and known.incarnation > incarnation:
            return None
        self._leases.pop(node, None)
        return Departure(node, incarnation, self.instance, left=True)

    def hear_holder(self, holder: str, now: float) -> None:
        """Note that another control instance keeps its leases."""
        self._heard[holder] = now

    def extend(self, now: float) -> None:
        """Give every lease the grace."""
        grace = now + LEASE_GRACE
        self._leases = {
            node: attrs.evolve(lease, expires=max(lease.expires, grace))
            for node, lease in self._leases.items()
        }

    def adopt(
        self, members: Iterable[Member], leads: bool, now: float
    ) -> None:
        """Follow the members as they are written in the replicated state.

        Own members that are not in the table get a lease with grace. A node
        that has moved to another control instance is forgotten. The leader
        also takes over the leases of instances that are silent.

        :param members: every member
        :param leads: whether this instance leads the control instances
        :param now: time, in seconds
        """
        for member in members:
            known = self._leases.get(member.node)
            if known is not None and known.incarnation > member.incarnation:
                continue
            silent = leads and self._is_silent(member.holder, now)
            if silent or member.holder == self.instance:
                self._keep(member, now)
            elif known is not None and known.holder != self.instance:
                del self._leases[member.node]

    def find_expired(self, now: float) -> tuple[Departure, ...]:
        """Return every node whose lease has run out.

        They stay in the table until :meth:`forget`, since the withdrawal may
        have to be tried again.
        """
        paused = now - self._ticked > PAUSE_BOUND
        self._ticked = now
        if paused:
            self.extend(now)
        return tuple(
            Departure(node, lease.incarnation, lease.holder)
            for node, lease in self._leases.items()
            if lease.expires < now
        )

    def forget(self, departure: Departure) -> None:
        """Drop the lease of a node that is withdrawn."""
        known = self._leases.get(departure.node)
        if known is not None and known.incarnation == departure.incarnation:
            del self._leases[departure.node]

    def _is_silent(self, holder: str, now: float) -> bool:
        return now - self._heard.get(holder, self.started) > HOLDER_TIMEOUT

    def _keep(self, member: Member, now: float) -> None:
        known = self._leases.get(member.node)
        if known is None or known.incarnation < member.incarnation:
            self._leases[member.node] = Lease(
                member.incarnation, member.holder, now + LEASE_GRACE
            )
