"""Routing of datagrams at a balancer, which keeps no state per flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..addresses import pack_address
from ..published import PublishedState
from .buckets import build_table
from .buckets import find_bucket
from .buckets import find_packed_bucket
from .drops import DropReason
from .envelope import Envelope
from .envelope import Kind
from .envelope import make_entry_sealer
from .envelope import NO_ADDRESS
from .envelope import unseal
from .quic import may_open_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from ..published import Service
    from ..published import Target
    from .buckets import BucketTable
    from .envelope import EntrySealer
    from .envelope import Keys


@attrs.frozen
class Forward:
    """An envelope to seal and to send to an agent.

    :param agent: address at which the agent receives envelopes
    :param envelope: the envelope
    """

    agent: Address
    envelope: Envelope


@attrs.define
class SealedForward:
    """A sealed envelope to send to an agent.

    :param agent: address at which the agent receives envelopes
    :param data: the sealed envelope
    """

    agent: Address
    data: bytes


@attrs.frozen
class _Route:
    """Prepared sealers of one service address, by index of the target."""

    table: BucketTable
    entry: bytes
    keys: Keys
    sealers: tuple[EntrySealer, ...]


@attrs.frozen
class CallerAnswer:
    """A datagram to send to a caller.

    :param entry: service address to send it from
    :param caller: address of the caller
    :param payload: the datagram
    """

    entry: Address
    caller: Address
    payload: bytes


@attrs.define
class BalancerRouter:
    """Routes the datagrams of callers to agents, and answers to callers.

    :param address: address at which this balancer receives answers
    :param published: published state that was applied last
    """

    address: Address
    published: PublishedState = attrs.field(factory=PublishedState)
    _services: dict[Address, Service] = attrs.field(factory=dict, init=False)
    _targets: dict[str, tuple[Target, ...]] = attrs.field(
        factory=dict, init=False
    )
    _newest_seen_revision: int = attrs.field(default=0, init=False)
    _tables: dict[str, BucketTable] = attrs.field(factory=dict, init=False)
    _former_tables: dict[str, BucketTable] = attrs.field(
        factory=dict, init=False
    )
    _routes: dict[Address, _Route] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.apply_published(self.published)

    def apply_published(self, published: PublishedState) -> None:
        """Apply a published state.

        Tables whose service and targets are unchanged are kept.
        """
        members: dict[str, list[Target]] = {}
        for target in published.targets:
            members.setdefault(target.service, []).append(target)
        services = {service.name: service for service in published.services}
        self.published = published
        self._targets = {name: tuple(found) for name, found in members.items()}
        self._services = {
            address: service
            for service in published.services
            for address in service.addresses
        }
        self._routes = {}
        self._former_tables = {
            name: table
            for name, table in {**self._former_tables, **self._tables}.items()
            if name in services
        }
        self._tables = {
            name: table
            for name, table in self._tables.items()
            if services.get(name) == table.service
            and self._targets.get(name, ()) == table.targets
        }

    def find_table(self, service: Service) -> BucketTable:
        """Return the table of a service; it is built at the first call."""
        table = self._tables.get(service.name)
        if table is None:
            table = build_table(
                service,
                self._targets.get(service.name, ()),
                self._former_tables.pop(service.name, None),
            )
            self._tables[service.name] = table
        return table

    def route(
        self, caller: Address, entry: Address, payload: bytes
    ) -> Forward | DropReason:
        """Choose the agent for a caller's datagram.

        :param caller: source address of the datagram
        :param entry: service address that it was sent to
        :param payload: the datagram
        :returns: the envelope to send, or why the datagram is dropped
        """
        service = self._services.get(entry)
        if service is None:
            return DropReason.UNKNOWN_ENTRY
        table = self._tables.get(service.name) or self.find_table(service)
        target = table.find_owner(find_bucket(caller, entry))
        if target is None:
            return DropReason.NO_TARGET
        if not table.accepts_new_flows and may_open_flow(payload):
            return DropReason.NO_TARGET
        envelope = self._make_template(service, target, entry)
        return Forward(
            target.agent,
            attrs.evolve(envelope, caller=caller, payload=payload),
        )

    def forward(
        self, caller: bytes, entry: Address, payload: bytes, keys: Keys
    ) -> SealedForward | DropReason:
        """Choose the agent for a caller's datagram, and seal it.

        Gives the same result as :meth:`route` and ``seal``, but is faster:
        the part of the header that all datagrams from one service address to
        one agent have in common is packed only once.

        :param caller: source address of the datagram, packed by
            :func:`~pistachiohook_core.addresses.pack_address`
        :param entry: service address that it was sent to
        :param payload: the datagram
        :param keys: valid keys of the envelopes
        :returns: the sealed envelope to send, or why the datagram is dropped
        """
        route = self._routes.get(entry)
        if route is None or route.keys is not keys:
            service = self._services.get(entry)
            if service is None:
                return DropReason.UNKNOWN_ENTRY
            route = self._build_route(service, entry, keys)
        table = route.table
        if not table.owners:
            return DropReason.NO_TARGET
        if not table.accepts_new_flows and may_open_flow(payload):
            return DropReason.NO_TARGET
        bucket = find_packed_bucket(caller, route.entry)
        sealer = route.sealers[table.owners[bucket]]
        return SealedForward(sealer.agent, sealer.seal(caller, payload))

    def _build_route(
        self, service: Service, entry: Address, keys: Keys
    ) -> _Route:
        table = self.find_table(service)
        sealers = tuple(
            make_entry_sealer(
                target.agent, self._make_template(service, target, entry), keys
            )
            for target in table.targets
        )
        route = _Route(table, pack_address(entry), keys, sealers)
        self._routes[entry] = route
        return route

    def _make_template(
        self, service: Service, target: Target, entry: Address
    ) -> Envelope:
        return Envelope(
            Kind.ENTRY,
            service.number,
            target.incarnation,
            self.published.revision,
            0,
            NO_ADDRESS,
            entry,
            self.address,
            b'',
        )

    def is_behind(self) -> bool:
        """Return whether an agent has applied a newer revision."""
        return self._newest_seen_revision > self.published.revision

    def accept_answer(
        self, data: bytes, keys: Keys
    ) -> Result[CallerAnswer, DropReason]:
        """Unseal and check an agent's answer to a caller.

        :param data: datagram that this balancer's address has received
        :param keys: valid keys of the envelopes
        :returns: the datagram to send, or why the answer is dropped
        """
        return unseal(data, keys).bind(self._check_answer)

    def _check_answer(
        self, envelope: Envelope
    ) -> Result[CallerAnswer, DropReason]:
        if envelope.kind is not Kind.ANSWER:
            return Failed(DropReason.WRONG_KIND)
        service = self._services.get(envelope.entry)
        if service is None:
            return Failed(DropReason.UNKNOWN_ENTRY)
        if service.number != envelope.service:
            return Failed(DropReason.WRONG_SERVICE)
        self._newest_seen_revision = max(
            self._newest_seen_revision, envelope.table_version
        )
        return Success(
            CallerAnswer(envelope.entry, envelope.caller, envelope.payload)
        )
