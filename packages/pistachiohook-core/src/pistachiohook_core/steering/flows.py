"""Routing of datagrams at an agent, and registration of its flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .buckets import find_bucket
from .drops import DropReason
from .envelope import Envelope
from .envelope import Kind
from .flow_messages import AbandonFlow
from .flow_messages import AgentIncarnation
from .flow_messages import Deliver
from .flow_messages import Drop
from .flow_messages import EnvelopeReceived
from .flow_messages import FlowEnded
from .flow_messages import FlowEstablished
from .flow_messages import FlowKey
from .flow_messages import FlowRecord
from .flow_messages import MessageReceived
from .flow_messages import pack_records
from .flow_messages import PublishedChanged
from .flow_messages import REGISTER_FLOWS_MAX
from .flow_messages import RegisterFlows
from .flow_messages import SendEnvelope
from .flow_messages import SendMessage
from .flow_messages import SendReset
from .flow_messages import Tick
from .flow_messages import unpack_records
from .offers import Offer
from .offers import OFFERS_PENDING_MAX
from .ownership import CANDIDATES_MAX
from .ownership import Ownership
from .quic import may_open_flow
from .registrations import REFRESH_INTERVAL
from .registrations import Registrations

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..addresses import Address
    from ..published import PublishedState
    from ..published import Target
    from .flow_messages import Action
    from .flow_messages import Actions
    from .flow_messages import Event

#: Time between two :class:`~.flow_messages.Tick` events, in seconds.
TICK_INTERVAL = 0.05

#: Maximum number of times that agents forward one datagram.
HOPS_MAX = 4

#: Time after which a flow without a complete handshake is abandoned, in
#: seconds.
HANDSHAKE_TIMEOUT = 10.0

#: Time after a datagram during which its balancer counts as live even when it
#: is not among the published balancers, in seconds.
BALANCER_SEEN_TIMEOUT = 1.0


@attrs.define
class HeldFlow:
    """A flow whose connections are held by the local QUIC engine.

    Times are in seconds on the clock that :meth:`AgentRouter.handle` is given.

    :param bucket: its bucket
    :param opened_at: when its first datagram came; once a handshake is
        complete, when the latest one was completed
    :param balancer: balancer that forwarded the latest datagram of the flow
    :param seen_at: when that datagram came
    :param established: whether a handshake is complete
    :param registered_with: owner of the bucket that the flow was last
        registered with, or None
    """

    bucket: int
    opened_at: float
    balancer: Address
    seen_at: float
    established: bool = False
    registered_with: Target | None = None


@attrs.define
class AgentRouter:
    """Routes datagrams at one agent, without a socket and without a clock.

    The agent that owns a flow's bucket opens the flow. When the bucket moves
    to another agent, the agent that holds the flow keeps it, and registers it
    with the new owner, which forwards its datagrams to the holder. An owner
    that may lack registrations offers a datagram of an unknown flow to its
    peers, one after another, before it opens or resets the flow.

    :param service: name of the service
    :param target: name of the agent's target
    :param agent: address at which this agent receives envelopes
    :param incarnation: number of the agent's start
    """

    service: str
    target: str
    agent: Address
    incarnation: int
    _ownership: Ownership = attrs.field(init=False)
    _service_number: int | None = attrs.field(default=None, init=False)
    _balancers: tuple[Address, ...] = attrs.field(default=(), init=False)
    _held: dict[FlowKey, HeldFlow] = attrs.field(factory=dict, init=False)
    _offers: dict[FlowKey, Offer] = attrs.field(factory=dict, init=False)
    _registrations: Registrations = attrs.field(
        factory=Registrations, init=False
    )
    _refreshed_at: float = attrs.field(default=0.0, init=False)

    @_ownership.default
    def _make_ownership(self) -> Ownership:
        return Ownership(self.service, self.target, self.incarnation)

    def handle(self, event: Event, now: float) -> Actions:
        """Process one event.

        :param event: the event
        :param now: time in seconds on any monotonic clock
        :returns: actions for the caller of this method, in order
        """
        match event:
            case EnvelopeReceived(envelope):
                return self._receive_envelope(envelope, now)
            case PublishedChanged(published):
                return self._apply_published(published, now)
            case MessageReceived(message):
                return self._handle_register(message, now)
            case FlowEstablished(flow):
                return self._mark_established(flow, now)
            case FlowEnded(flow):
                self._held.pop(flow, None)
                return ()
            case Tick():
                return self._handle_tick(now)

    def wrap_answer(
        self,
        flow: FlowKey,
        payload: bytes,
        now: float,
        balancer: Address | None = None,
    ) -> SendEnvelope | Drop:
        """Wrap a datagram to a caller in an envelope to a balancer.

        The balancer is the one that forwarded the latest datagram of the
        flow, or another published one when that is no longer live.

        :param flow: flow of the caller
        :param payload: the datagram
        :param now: time in seconds
        :param balancer: preferred balancer of a flow that is not held here
        :returns: the envelope to send, or why the datagram is dropped
        """
        if self._service_number is None:
            return Drop(DropReason.WRONG_SERVICE)
        via = self._choose_balancer(flow, balancer, now)
        if via is None:
            return Drop(DropReason.NO_BALANCER)
        return SendEnvelope(
            via,
            Envelope(
                Kind.ANSWER,
                self._service_number,
                self.incarnation,
                self._ownership.revision,
                0,
                flow.caller,
                flow.entry,
                via,
                payload,
                self.agent,
                self.incarnation,
            ),
        )

    def list_held(self) -> tuple[FlowKey, ...]:
        """Return the flows that the local engine holds."""
        return tuple(self._held)

    def _choose_balancer(
        self, flow: FlowKey, preferred: Address | None, now: float
    ) -> Address | None:
        held = self._held.get(flow)
        if held is not None:
            preferred = held.balancer
            if now - held.seen_at < BALANCER_SEEN_TIMEOUT:
                return preferred
        if preferred in self._balancers or not self._balancers:
            return preferred
        bucket = find_bucket(flow.caller, flow.entry)
        return self._balancers[bucket % len(self._balancers)]

    def _receive_envelope(self, envelope: Envelope, now: float) -> Actions:
        reason = self._check_receiver(envelope)
        if reason is not None:
            return (Drop(reason),)
        flow = FlowKey(envelope.caller, envelope.entry)
        match envelope.kind:
            case Kind.ENTRY | Kind.PASSED:
                return self._route_datagram(flow, envelope, now)
            case Kind.OFFERED:
                return self._handle_offer(flow, envelope, now)
            case Kind.DECLINED:
                return self._handle_decline(flow, envelope, now)
            case Kind.HELD:
                return self._handle_held(flow, envelope, now)
            case _:
                return (Drop(DropReason.WRONG_KIND),)

    def _check_receiver(self, envelope: Envelope) -> DropReason | None:
        if envelope.service != self._service_number:
            return DropReason.WRONG_SERVICE
        if envelope.incarnation != self.incarnation:
            return DropReason.WRONG_INCARNATION
        if envelope.hops > HOPS_MAX:
            return DropReason.TOO_MANY_HOPS
        return None

    def _route_datagram(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        if flow in self._held:
            return self._deliver(flow, envelope, now)
        self._registrations.remove_if_held_by(flow, _identify_sender(envelope))
        holder = self._registrations.find_holder(flow)
        if holder is not None:
            return (self._forward(envelope, holder, Kind.PASSED),)
        return self._route_unknown_flow(flow, envelope, now)

    def _deliver(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        held = self._held[flow]
        held.balancer = envelope.balancer
        held.seen_at = now
        return (Deliver(flow, envelope.payload),)

    def _forward(
        self, envelope: Envelope, receiver: AgentIncarnation, kind: Kind
    ) -> Action:
        if envelope.hops >= HOPS_MAX:
            return Drop(DropReason.TOO_MANY_HOPS)
        return SendEnvelope(
            receiver.agent,
            attrs.evolve(
                envelope,
                kind=kind,
                incarnation=receiver.incarnation,
                table_version=self._ownership.revision,
                hops=envelope.hops + 1,
                sender=self.agent,
                sender_incarnation=self.incarnation,
            ),
        )

    def _route_unknown_flow(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        """Route a datagram of a flow that is neither held nor registered."""
        bucket = find_bucket(flow.caller, flow.entry)
        owner = self._find_owner(bucket)
        if owner is None:
            return (Drop(DropReason.NO_TARGET),)
        if not self._ownership.is_self(owner):
            return (self._forward_to_owner(envelope, _identify_target(owner)),)
        if flow in self._offers:
            return self._queue_datagram(flow, envelope)
        if self._ownership.is_settled(bucket, now):
            return self._open_or_reset(flow, (envelope,), False, now)
        if len(self._offers) >= OFFERS_PENDING_MAX:
            return (Drop(DropReason.OFFER_PENDING),)
        candidates = self._ownership.list_candidates(bucket, now)
        offer = Offer(
            (envelope,),
            candidates[:CANDIDATES_MAX],
            now,
            uncertain=len(candidates) > CANDIDATES_MAX,
        )
        return self._advance_offer(flow, offer, now)

    def _find_owner(self, bucket: int) -> Target | None:
        table = self._ownership.table
        return table.find_owner(bucket) if table is not None else None

    def _forward_to_owner(
        self, envelope: Envelope, owner: AgentIncarnation
    ) -> Action:
        # Declined when forwarding would send the datagram back to where it
        # came from, or when its sender has applied a newer revision.
        sender = _identify_sender(envelope)
        decline = envelope.kind is Kind.PASSED and (
            sender == owner
            or envelope.table_version > self._ownership.revision
        )
        if decline:
            return self._forward(envelope, sender, Kind.DECLINED)
        return self._forward(envelope, owner, Kind.PASSED)

    def _queue_datagram(self, flow: FlowKey, envelope: Envelope) -> Actions:
        offer = self._offers[flow].add_datagram(envelope)
        if offer is None:
            return (Drop(DropReason.OFFER_PENDING),)
        self._offers[flow] = offer
        return ()

    def _advance_offer(
        self, flow: FlowKey, offer: Offer, now: float
    ) -> Actions:
        """Offer the flow to its first candidate.

        Without a candidate, open or reset the flow, or forward its datagrams
        when another agent has become the owner of its bucket.
        """
        if offer.candidates:
            self._offers[flow] = offer
            peer = _identify_target(offer.candidates[0])
            envelope = offer.choose_datagram()
            return (self._forward(envelope, peer, Kind.OFFERED),)
        self._offers.pop(flow, None)
        owner = self._find_owner(find_bucket(flow.caller, flow.entry))
        if owner is not None and self._ownership.is_self(owner):
            return self._open_or_reset(
                flow, offer.datagrams, offer.uncertain, now
            )
        return tuple(
            action
            for envelope in offer.datagrams
            for action in self._route_unknown_flow(flow, envelope, now)
        )

    def _open_or_reset(
        self,
        flow: FlowKey,
        datagrams: tuple[Envelope, ...],
        uncertain: bool,
        now: float,
    ) -> Actions:
        """Open a flow that no peer holds, or reset it.

        Only a datagram that begins a handshake opens a flow. Any other is
        dropped while a peer may still hold the flow, and answered with a
        stateless reset otherwise.
        """
        last = datagrams[-1]
        if any(may_open_flow(one.payload) for one in datagrams):
            if not self._ownership.accepts_new_flows():
                return (Drop(DropReason.DRAINING),)
            bucket = find_bucket(flow.caller, flow.entry)
            self._held[flow] = HeldFlow(bucket, now, last.balancer, now)
            return tuple(Deliver(flow, one.payload) for one in datagrams)
        if uncertain or self._ownership.is_lagging(last.table_version, now):
            return (Drop(DropReason.OWNER_UNCERTAIN),)
        return (SendReset(flow, last.balancer, last.payload),)

    def _handle_offer(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        sender = _identify_sender(envelope)
        if flow in self._held:
            delivered = self._deliver(flow, envelope, now)
            return (
                *delivered,
                self._reply_held(envelope, self._identify_self()),
            )
        self._registrations.remove_if_held_by(flow, sender)
        holder = self._registrations.find_holder(flow)
        if holder is not None:
            return (
                self._forward(envelope, holder, Kind.PASSED),
                self._reply_held(envelope, holder),
            )
        if flow in self._offers and not self._is_preferred_offer(envelope):
            queued = self._queue_datagram(flow, envelope)
            return (
                *queued,
                self._reply_held(envelope, self._identify_self()),
            )
        return self._decline_offer(flow, envelope, now)

    def _is_preferred_offer(self, envelope: Envelope) -> bool:
        # Two agents may offer the same flow to each other at once. Both must
        # prefer the same offer: that of the newer revision, and with equal
        # revisions that of the higher address.
        own = (self._ownership.revision, self.agent)
        return (envelope.table_version, envelope.sender) > own

    def _decline_offer(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        # Once declined, the sender may open the flow, so it is registered as
        # the holder of a flow that this datagram may open. Its offer takes
        # precedence over a pending one of this agent.
        sender = _identify_sender(envelope)
        pending = self._offers.pop(flow, None)
        if may_open_flow(envelope.payload):
            self._registrations.store(
                flow, sender, envelope.table_version, now
            )
        forwarded = pending.datagrams if pending is not None else ()
        return (
            self._forward(envelope, sender, Kind.DECLINED),
            *(self._forward(one, sender, Kind.PASSED) for one in forwarded),
        )

    def _reply_held(
        self, envelope: Envelope, holder: AgentIncarnation
    ) -> Action:
        sender = _identify_sender(envelope)
        # A HELD envelope names the holder in place of its sender.
        return SendEnvelope(
            sender.agent,
            attrs.evolve(
                envelope,
                kind=Kind.HELD,
                incarnation=sender.incarnation,
                table_version=self._ownership.revision,
                sender=holder.agent,
                sender_incarnation=holder.incarnation,
                payload=b'',
            ),
        )

    def _handle_decline(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        sender = _identify_sender(envelope)
        removed = self._registrations.remove_if_held_by(flow, sender)
        offer = self._offers.get(flow)
        if offer is None:
            if removed:
                return self._route_datagram(flow, envelope, now)
            return (Drop(DropReason.OFFER_OVER),)
        if _identify_target(offer.candidates[0]) != sender:
            return (Drop(DropReason.OFFER_OVER),)
        return self._advance_offer(flow, offer.select_next(now), now)

    def _handle_held(
        self, flow: FlowKey, envelope: Envelope, now: float
    ) -> Actions:
        holder = _identify_sender(envelope)
        if flow in self._held or holder == self._identify_self():
            return ()
        version = envelope.table_version
        self._registrations.store(flow, holder, version, now)
        offer = self._offers.pop(flow, None)
        if offer is None:
            return ()
        offered = offer.choose_datagram()
        return tuple(
            self._forward(one, holder, Kind.PASSED)
            for one in offer.datagrams
            if one is not offered
        )

    def _apply_published(
        self, published: PublishedState, now: float
    ) -> Actions:
        if published.revision < self._ownership.revision:
            return ()
        abandoned = self._apply_service_number(published)
        changed = self._ownership.apply_published(published, now)
        self._balancers = tuple(
            balancer.address for balancer in published.balancers
        )
        self._expire_registrations(now)
        reregistered = (
            self._register_flows(self._has_new_owner, now) if changed else ()
        )
        return (*abandoned, *reregistered, *self._skip_departed_peers(now))

    def _apply_service_number(self, published: PublishedState) -> Actions:
        numbers = (
            service.number
            for service in published.services
            if service.name == self.service
        )
        number = next(numbers, self._service_number)
        if number == self._service_number:
            return ()
        abandoned = tuple(AbandonFlow(flow) for flow in self._held)
        self._service_number = number
        self._held.clear()
        self._offers.clear()
        self._registrations = Registrations()
        return abandoned

    def _skip_departed_peers(self, now: float) -> Actions:
        gone = [
            (flow, offer)
            for flow, offer in self._offers.items()
            if not self._is_live(_identify_target(offer.candidates[0]))
        ]
        return tuple(
            action
            for flow, offer in gone
            for action in self._advance_offer(
                flow, offer.select_next(now), now
            )
        )

    def _is_live(self, agent: AgentIncarnation) -> bool:
        return self._ownership.find_peer(agent) is not None

    def _expire_registrations(self, now: float) -> None:
        self._registrations.expire(
            now, self._is_live, self._ownership.revision
        )

    def _has_new_owner(self, held: HeldFlow, owner: Target) -> bool:
        return held.registered_with is None or (
            _identify_target(held.registered_with) != _identify_target(owner)
        )

    def _register_flows(
        self, is_due: Callable[[HeldFlow, Target], bool], now: float
    ) -> Actions:
        by_owner: dict[Target, list[FlowRecord]] = {}
        for flow, held in self._held.items():
            owner = self._find_owner(held.bucket)
            if owner is None or self._ownership.is_self(owner):
                held.registered_with = None
            elif is_due(held, owner):
                held.registered_with = owner
                record = _make_record(flow, held, now)
                by_owner.setdefault(owner, []).append(record)
        return tuple(
            self._make_register(owner, records[start:][:REGISTER_FLOWS_MAX])
            for owner, records in by_owner.items()
            for start in range(0, len(records), REGISTER_FLOWS_MAX)
        )

    def _make_register(
        self, peer: Target, records: Iterable[FlowRecord]
    ) -> SendMessage:
        return SendMessage(
            peer.link,
            RegisterFlows(
                self._service_number or 0,
                self.agent,
                self.incarnation,
                self._ownership.revision,
                pack_records(records),
            ),
        )

    def _handle_register(self, message: RegisterFlows, now: float) -> Actions:
        if message.service != self._service_number:
            return (Drop(DropReason.WRONG_SERVICE),)
        holder = AgentIncarnation(message.agent, message.incarnation)
        peer = self._ownership.find_peer(holder)
        if peer is None and message.revision <= self._ownership.revision:
            return (Drop(DropReason.WRONG_INCARNATION),)
        records = list(unpack_records(message.records))
        kept = [
            one
            for one in records
            if self._prefers_local_flow(one, holder, now)
        ]
        accepted = [
            action
            for record in records
            if record not in kept
            for action in self._accept_registration(
                record.flow, holder, message.revision, now
            )
        ]
        return (*accepted, *self._register_kept_flows(peer, kept, now))

    def _prefers_local_flow(
        self, record: FlowRecord, holder: AgentIncarnation, now: float
    ) -> bool:
        held = self._held.get(record.flow)
        if held is None:
            return False
        if held.established is not record.established:
            return held.established
        owner = self._find_owner(held.bucket)
        if owner is not None and _identify_target(owner) == holder:
            return False
        # Of two complete handshakes, the caller uses the later one. Of two
        # incomplete ones, the later was caused by a duplicate datagram.
        age_difference = record.age - (now - held.opened_at)
        return age_difference > 0 if held.established else age_difference < 0

    def _accept_registration(
        self,
        flow: FlowKey,
        holder: AgentIncarnation,
        revision: int,
        now: float,
    ) -> Actions:
        self._registrations.store(flow, holder, revision, now)
        abandoned = self._held.pop(flow, None)
        offer = self._offers.pop(flow, None)
        forwarded = offer.datagrams if offer is not None else ()
        return (
            *((AbandonFlow(flow),) if abandoned else ()),
            *(self._forward(one, holder, Kind.PASSED) for one in forwarded),
        )

    def _register_kept_flows(
        self, peer: Target | None, kept: list[FlowRecord], now: float
    ) -> Actions:
        records = [
            _make_record(one.flow, self._held[one.flow], now)
            for one in kept
            if self._is_owned(one.flow)
        ]
        if peer is None or not records:
            return ()
        return (self._make_register(peer, records),)

    def _is_owned(self, flow: FlowKey) -> bool:
        owner = self._find_owner(find_bucket(flow.caller, flow.entry))
        return owner is not None and self._ownership.is_self(owner)

    def _mark_established(self, flow: FlowKey, now: float) -> Actions:
        held = self._held.get(flow)
        if held is None:
            return (AbandonFlow(flow),)
        held.established = True
        held.opened_at = now
        return ()

    def _handle_tick(self, now: float) -> Actions:
        due = [
            (flow, offer)
            for flow, offer in self._offers.items()
            if offer.has_timed_out(now)
        ]
        retried = tuple(
            action
            for flow, offer in due
            for action in self._advance_offer(flow, offer.retry(now), now)
        )
        if now - self._refreshed_at < REFRESH_INTERVAL:
            return retried
        self._refreshed_at = now
        self._expire_registrations(now)
        expired = self._expire_handshakes(now)
        refreshed = self._register_flows(lambda _held, _owner: True, now)
        return (*retried, *expired, *refreshed)

    def _expire_handshakes(self, now: float) -> Actions:
        expired = [
            flow
            for flow, held in self._held.items()
            if not held.established
            and now - held.opened_at >= HANDSHAKE_TIMEOUT
        ]
        for flow in expired:
            del self._held[flow]
        return tuple(AbandonFlow(flow) for flow in expired)

    def _identify_self(self) -> AgentIncarnation:
        return AgentIncarnation(self.agent, self.incarnation)


def _identify_target(target: Target) -> AgentIncarnation:
    return AgentIncarnation(target.agent, target.incarnation)


def _identify_sender(envelope: Envelope) -> AgentIncarnation:
    return AgentIncarnation(envelope.sender, envelope.sender_incarnation)


def _make_record(flow: FlowKey, held: HeldFlow, now: float) -> FlowRecord:
    return FlowRecord(flow, now - held.opened_at, held.established)
