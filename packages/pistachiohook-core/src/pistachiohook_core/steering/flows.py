"""Flows of one agent: held, registered with their owners, and passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .buckets import find_bucket
from .drops import DropReason
from .envelope import Envelope
from .envelope import Kind
from .flow_messages import AbandonFlow
from .flow_messages import Deliver
from .flow_messages import Drop
from .flow_messages import EnvelopeReceived
from .flow_messages import Flow
from .flow_messages import FlowEnded
from .flow_messages import FlowEstablished
from .flow_messages import FlowRecord
from .flow_messages import Holder
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
from .ownership import OFFERS_MAX
from .ownership import Ownership
from .quic import opens_flow
from .registrations import REFRESH_INTERVAL
from .registrations import Registrations

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..addresses import Address
    from ..published import Published
    from ..published import Target
    from .flow_messages import Action
    from .flow_messages import Actions
    from .flow_messages import Event

#: Time between two :class:`~.flow_messages.Tick` events, in seconds.
TICK_INTERVAL = 0.05

#: Most times that agents hand one datagram on.
HOPS_MAX = 4

#: Time that a handshake may take, in seconds.
HANDSHAKE_TIMEOUT = 10.0


#: Time in which a balancer that is not published yet counts as live, in
#: seconds.
BALANCER_SEEN_TIMEOUT = 1.0


@attrs.define
class HeldFlow:
    """A flow of the local engine.

    :param bucket: its bucket
    :param opened_at: when it was opened, or its last handshake was complete
    :param balancer: balancer that it was last seen on
    :param seen_at: when that was
    :param established: whether a handshake is complete
    :param registered: target that it was last registered with
    """

    bucket: int
    opened_at: float
    balancer: Address
    seen_at: float
    established: bool = False
    registered: Target | None = None


@attrs.define
class AgentRouter:
    """State of one agent's flows, and of those that its peers hold.

    :param service: name of the service
    :param target: name of the agent's target
    :param agent: where this agent receives envelopes
    :param incarnation: number of the agent's start
    """

    service: str
    target: str
    agent: Address
    incarnation: int
    _ownership: Ownership = attrs.field(init=False)
    _number: int | None = attrs.field(default=None, init=False)
    _balancers: tuple[Address, ...] = attrs.field(default=(), init=False)
    _held: dict[Flow, HeldFlow] = attrs.field(factory=dict, init=False)
    _offers: dict[Flow, Offer] = attrs.field(factory=dict, init=False)
    _registrations: Registrations = attrs.field(
        factory=Registrations, init=False
    )
    _refreshed_at: float = attrs.field(default=0.0, init=False)

    @_ownership.default
    def _make_ownership(self) -> Ownership:
        return Ownership(self.service, self.target, self.incarnation)

    def handle(self, event: Event, now: float) -> Actions:
        """Take in one event.

        :param event: what has happened
        :param now: time in seconds, from any fixed point
        :returns: what is to be done, in order
        """
        match event:
            case EnvelopeReceived(envelope):
                return self._receive(envelope, now)
            case PublishedChanged(published):
                return self._apply_published(published, now)
            case MessageReceived(message):
                return self._take_registrations(message, now)
            case FlowEstablished(flow):
                return self._mark_established(flow, now)
            case FlowEnded(flow):
                self._held.pop(flow, None)
                return ()
            case Tick():
                return self._pass_time(now)

    def wrap_answer(
        self,
        flow: Flow,
        payload: bytes,
        now: float,
        balancer: Address | None = None,
    ) -> SendEnvelope | Drop:
        """Wrap a datagram for a caller.

        It goes by the balancer that the flow was last seen on, or by any
        other live one when that is gone.

        :param flow: its flow
        :param payload: the datagram
        :param now: time in seconds
        :param balancer: balancer to prefer, for a flow that is not held
        """
        if self._number is None:
            return Drop(DropReason.WRONG_SERVICE)
        by = self._choose_balancer(flow, balancer, now)
        if by is None:
            return Drop(DropReason.NO_BALANCER)
        return SendEnvelope(
            by,
            Envelope(
                Kind.ANSWER,
                self._number,
                self.incarnation,
                self._ownership.revision,
                0,
                flow.caller,
                flow.entry,
                by,
                payload,
                self.agent,
                self.incarnation,
            ),
        )

    def list_held(self) -> tuple[Flow, ...]:
        """Return the flows of the local engine."""
        return tuple(self._held)

    def _choose_balancer(
        self, flow: Flow, preferred: Address | None, now: float
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

    def _receive(self, envelope: Envelope, now: float) -> Actions:
        reason = self._check(envelope)
        if reason is not None:
            return (Drop(reason),)
        flow = Flow(envelope.caller, envelope.entry)
        match envelope.kind:
            case Kind.ENTRY | Kind.PASSED:
                return self._accept(flow, envelope, now)
            case Kind.OFFERED:
                return self._consider_offer(flow, envelope, now)
            case Kind.DECLINED:
                return self._take_back(flow, envelope, now)
            case Kind.HELD:
                return self._learn_holder(flow, envelope, now)
            case _:
                return (Drop(DropReason.WRONG_KIND),)

    def _check(self, envelope: Envelope) -> DropReason | None:
        if envelope.service != self._number:
            return DropReason.WRONG_SERVICE
        if envelope.incarnation != self.incarnation:
            return DropReason.WRONG_INCARNATION
        if envelope.hops > HOPS_MAX:
            return DropReason.TOO_MANY_HOPS
        return None

    def _accept(self, flow: Flow, envelope: Envelope, now: float) -> Actions:
        if flow in self._held:
            return self._deliver(flow, envelope, now)
        self._registrations.forget_from(flow, _read_sender(envelope))
        holder = self._registrations.find_holder(flow)
        if holder is not None:
            return (self._hand_on(envelope, holder, Kind.PASSED),)
        return self._seek(flow, envelope, now)

    def _deliver(self, flow: Flow, envelope: Envelope, now: float) -> Actions:
        held = self._held[flow]
        held.balancer = envelope.balancer
        held.seen_at = now
        return (Deliver(flow, envelope.payload),)

    def _hand_on(
        self, envelope: Envelope, holder: Holder, kind: Kind
    ) -> Action:
        if envelope.hops >= HOPS_MAX:
            return Drop(DropReason.TOO_MANY_HOPS)
        return SendEnvelope(
            holder.agent,
            attrs.evolve(
                envelope,
                kind=kind,
                incarnation=holder.incarnation,
                table_version=self._ownership.revision,
                hops=envelope.hops + 1,
                sender=self.agent,
                sender_incarnation=self.incarnation,
            ),
        )

    def _seek(self, flow: Flow, envelope: Envelope, now: float) -> Actions:
        bucket = find_bucket(flow.caller, flow.entry)
        owner = self._find_owner(bucket)
        if owner is None:
            return (Drop(DropReason.NO_TARGET),)
        if not self._ownership.is_self(owner):
            return (self._turn_to_owner(envelope, _read_holder(owner)),)
        if flow in self._offers:
            return self._wait(flow, envelope)
        if self._ownership.is_settled(bucket, now):
            return self._conclude(flow, (envelope,), False, now)
        if len(self._offers) >= OFFERS_PENDING_MAX:
            return (Drop(DropReason.OFFER_PENDING),)
        candidates = self._ownership.list_candidates(bucket, now)
        offer = Offer(
            (envelope,),
            candidates[:OFFERS_MAX],
            now,
            uncertain=len(candidates) > OFFERS_MAX,
        )
        return self._ask(flow, offer, now)

    def _find_owner(self, bucket: int) -> Target | None:
        table = self._ownership.table
        return table.find_owner(bucket) if table is not None else None

    def _turn_to_owner(self, envelope: Envelope, owner: Holder) -> Action:
        sender = _read_sender(envelope)
        decline = envelope.kind is Kind.PASSED and (
            sender == owner
            or envelope.table_version > self._ownership.revision
        )
        if decline:
            return self._hand_on(envelope, sender, Kind.DECLINED)
        return self._hand_on(envelope, owner, Kind.PASSED)

    def _wait(self, flow: Flow, envelope: Envelope) -> Actions:
        offer = self._offers[flow].add_datagram(envelope)
        if offer is None:
            return (Drop(DropReason.OFFER_PENDING),)
        self._offers[flow] = offer
        return ()

    def _ask(self, flow: Flow, offer: Offer, now: float) -> Actions:
        if offer.candidates:
            self._offers[flow] = offer
            peer = _read_holder(offer.candidates[0])
            envelope = offer.choose_datagram()
            return (self._hand_on(envelope, peer, Kind.OFFERED),)
        self._offers.pop(flow, None)
        owner = self._find_owner(find_bucket(flow.caller, flow.entry))
        if owner is not None and self._ownership.is_self(owner):
            return self._conclude(flow, offer.datagrams, offer.uncertain, now)
        return tuple(
            action
            for envelope in offer.datagrams
            for action in self._seek(flow, envelope, now)
        )

    def _conclude(
        self,
        flow: Flow,
        datagrams: tuple[Envelope, ...],
        uncertain: bool,
        now: float,
    ) -> Actions:
        last = datagrams[-1]
        if any(opens_flow(one.payload) for one in datagrams):
            if not self._ownership.accepts_new():
                return (Drop(DropReason.DRAINING),)
            bucket = find_bucket(flow.caller, flow.entry)
            self._held[flow] = HeldFlow(bucket, now, last.balancer, now)
            return tuple(Deliver(flow, one.payload) for one in datagrams)
        if uncertain or self._ownership.is_lagging(last.table_version, now):
            return (Drop(DropReason.OWNER_UNCERTAIN),)
        return (SendReset(flow, last.balancer, last.payload),)

    def _consider_offer(
        self, flow: Flow, envelope: Envelope, now: float
    ) -> Actions:
        sender = _read_sender(envelope)
        if flow in self._held:
            delivered = self._deliver(flow, envelope, now)
            return (*delivered, self._claim(envelope, self._read_self()))
        self._registrations.forget_from(flow, sender)
        holder = self._registrations.find_holder(flow)
        if holder is not None:
            return (
                self._hand_on(envelope, holder, Kind.PASSED),
                self._claim(envelope, holder),
            )
        if flow in self._offers and not self._yields_to(envelope):
            waited = self._wait(flow, envelope)
            return (*waited, self._claim(envelope, self._read_self()))
        return self._decline_offer(flow, envelope, now)

    def _yields_to(self, envelope: Envelope) -> bool:
        mine = (self._ownership.revision, self.agent)
        return (envelope.table_version, envelope.sender) > mine

    def _decline_offer(
        self, flow: Flow, envelope: Envelope, now: float
    ) -> Actions:
        # The sender may start the flow as soon as it knows of the refusal.
        sender = _read_sender(envelope)
        waiting = self._offers.pop(flow, None)
        if opens_flow(envelope.payload):
            self._registrations.keep(flow, sender, envelope.table_version, now)
        passed = waiting.datagrams if waiting is not None else ()
        return (
            self._hand_on(envelope, sender, Kind.DECLINED),
            *(self._hand_on(one, sender, Kind.PASSED) for one in passed),
        )

    def _claim(self, envelope: Envelope, holder: Holder) -> Action:
        sender = _read_sender(envelope)
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

    def _take_back(
        self, flow: Flow, envelope: Envelope, now: float
    ) -> Actions:
        sender = _read_sender(envelope)
        forgotten = self._registrations.forget_from(flow, sender)
        offer = self._offers.get(flow)
        if offer is None:
            if forgotten:
                return self._accept(flow, envelope, now)
            return (Drop(DropReason.OFFER_OVER),)
        if _read_holder(offer.candidates[0]) != sender:
            return (Drop(DropReason.OFFER_OVER),)
        return self._ask(flow, offer.ask_next(now), now)

    def _learn_holder(
        self, flow: Flow, envelope: Envelope, now: float
    ) -> Actions:
        holder = _read_sender(envelope)
        if flow in self._held or holder == self._read_self():
            return ()
        version = envelope.table_version
        self._registrations.keep(flow, holder, version, now)
        offer = self._offers.pop(flow, None)
        if offer is None:
            return ()
        offered = offer.choose_datagram()
        return tuple(
            self._hand_on(one, holder, Kind.PASSED)
            for one in offer.datagrams
            if one is not offered
        )

    def _apply_published(self, published: Published, now: float) -> Actions:
        if published.revision < self._ownership.revision:
            return ()
        abandoned = self._apply_number(published)
        changed = self._ownership.apply_published(published, now)
        self._balancers = tuple(
            balancer.address for balancer in published.balancers
        )
        self._expire_registrations(now)
        moved = self._register(self._is_moved, now) if changed else ()
        return (*abandoned, *moved, *self._leave_gone_peers(now))

    def _apply_number(self, published: Published) -> Actions:
        numbers = (
            service.number
            for service in published.services
            if service.name == self.service
        )
        number = next(numbers, self._number)
        if number == self._number:
            return ()
        abandoned = tuple(AbandonFlow(flow) for flow in self._held)
        self._number = number
        self._held.clear()
        self._offers.clear()
        self._registrations = Registrations()
        return abandoned

    def _leave_gone_peers(self, now: float) -> Actions:
        gone = [
            (flow, offer)
            for flow, offer in self._offers.items()
            if not self._is_live(_read_holder(offer.candidates[0]))
        ]
        return tuple(
            action
            for flow, offer in gone
            for action in self._ask(flow, offer.ask_next(now), now)
        )

    def _is_live(self, holder: Holder) -> bool:
        return self._ownership.find_peer(holder) is not None

    def _expire_registrations(self, now: float) -> None:
        self._registrations.expire(
            now, self._is_live, self._ownership.revision
        )

    def _is_moved(self, held: HeldFlow, owner: Target) -> bool:
        return held.registered is None or (
            _read_holder(held.registered) != _read_holder(owner)
        )

    def _register(
        self, is_due: Callable[[HeldFlow, Target], bool], now: float
    ) -> Actions:
        by_owner: dict[Target, list[FlowRecord]] = {}
        for flow, held in self._held.items():
            owner = self._find_owner(held.bucket)
            if owner is None or self._ownership.is_self(owner):
                held.registered = None
            elif is_due(held, owner):
                held.registered = owner
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
                self._number or 0,
                self.agent,
                self.incarnation,
                self._ownership.revision,
                pack_records(records),
            ),
        )

    def _take_registrations(
        self, message: RegisterFlows, now: float
    ) -> Actions:
        if message.service != self._number:
            return (Drop(DropReason.WRONG_SERVICE),)
        holder = Holder(message.agent, message.incarnation)
        peer = self._ownership.find_peer(holder)
        if peer is None and message.revision <= self._ownership.revision:
            return (Drop(DropReason.WRONG_INCARNATION),)
        records = list(unpack_records(message.records))
        kept = [
            one for one in records if self._is_better_held(one, holder, now)
        ]
        taken = [
            action
            for record in records
            if record not in kept
            for action in self._yield_flow(
                record.flow, holder, message.revision, now
            )
        ]
        return (*taken, *self._answer_registrations(peer, kept, now))

    def _is_better_held(
        self, record: FlowRecord, holder: Holder, now: float
    ) -> bool:
        held = self._held.get(record.flow)
        if held is None:
            return False
        if held.established is not record.established:
            return held.established
        owner = self._find_owner(held.bucket)
        if owner is not None and _read_holder(owner) == holder:
            return False
        # Two complete handshakes: the caller speaks on the later one. Else
        # the later one came of a datagram that was sent twice.
        lead = record.age - (now - held.opened_at)
        return lead > 0 if held.established else lead < 0

    def _yield_flow(
        self, flow: Flow, holder: Holder, revision: int, now: float
    ) -> Actions:
        self._registrations.keep(flow, holder, revision, now)
        abandoned = self._held.pop(flow, None)
        offer = self._offers.pop(flow, None)
        passed = offer.datagrams if offer is not None else ()
        return (
            *((AbandonFlow(flow),) if abandoned else ()),
            *(self._hand_on(one, holder, Kind.PASSED) for one in passed),
        )

    def _answer_registrations(
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

    def _is_owned(self, flow: Flow) -> bool:
        owner = self._find_owner(find_bucket(flow.caller, flow.entry))
        return owner is not None and self._ownership.is_self(owner)

    def _mark_established(self, flow: Flow, now: float) -> Actions:
        held = self._held.get(flow)
        if held is None:
            return (AbandonFlow(flow),)
        held.established = True
        held.opened_at = now
        return ()

    def _pass_time(self, now: float) -> Actions:
        due = [
            (flow, offer)
            for flow, offer in self._offers.items()
            if offer.is_due(now)
        ]
        asked = tuple(
            action
            for flow, offer in due
            for action in self._ask(flow, offer.ask_again(now), now)
        )
        if now - self._refreshed_at < REFRESH_INTERVAL:
            return asked
        self._refreshed_at = now
        self._expire_registrations(now)
        expired = self._expire_handshakes(now)
        refreshed = self._register(lambda _held, _owner: True, now)
        return (*asked, *expired, *refreshed)

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

    def _read_self(self) -> Holder:
        return Holder(self.agent, self.incarnation)


def _read_holder(target: Target) -> Holder:
    return Holder(target.agent, target.incarnation)


def _read_sender(envelope: Envelope) -> Holder:
    return Holder(envelope.sender, envelope.sender_incarnation)


def _make_record(flow: Flow, held: HeldFlow, now: float) -> FlowRecord:
    return FlowRecord(flow, now - held.opened_at, held.established)
