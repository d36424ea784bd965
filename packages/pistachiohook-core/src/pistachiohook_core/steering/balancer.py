"""Steering at a balancer, which keeps no state per flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..addresses import pack_address
from ..published import Published
from .buckets import build_table
from .buckets import find_bucket
from .buckets import find_packed_bucket
from .drops import DropReason
from .envelope import Envelope
from .envelope import Kind
from .envelope import make_entry_sealer
from .envelope import NO_ADDRESS
from .envelope import unseal
from .quic import opens_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from ..published import Service
    from ..published import Target
    from .buckets import Table
    from .envelope import EntrySealer
    from .envelope import Keys


@attrs.frozen
class Forward:
    """An envelope, and the agent that it goes to.

    :param agent: where the agent receives envelopes
    :param envelope: what is to be sealed and sent
    """

    agent: Address
    envelope: Envelope


@attrs.define
class SealedForward:
    """A sealed envelope, and the agent that it goes to.

    :param agent: where the agent receives envelopes
    :param data: the sealed envelope
    """

    agent: Address
    data: bytes


@attrs.frozen
class _Route:
    table: Table
    entry: bytes
    keys: Keys
    sealers: tuple[EntrySealer, ...]


@attrs.frozen
class CallerAnswer:
    """A datagram that leaves the system.

    :param entry: service address to send it from
    :param caller: where it goes
    :param payload: the datagram
    """

    entry: Address
    caller: Address
    payload: bytes


@attrs.define
class BalancerRouter:
    """State of a balancer's steering: what is published, and its tables.

    :param address: where this balancer receives answers
    :param published: what is published, as last applied
    """

    address: Address
    published: Published = attrs.field(factory=Published)
    _services: dict[Address, Service] = attrs.field(factory=dict, init=False)
    _members: dict[str, tuple[Target, ...]] = attrs.field(
        factory=dict, init=False
    )
    _seen_revision: int = attrs.field(default=0, init=False)
    _tables: dict[str, Table] = attrs.field(factory=dict, init=False)
    _former: dict[str, Table] = attrs.field(factory=dict, init=False)
    _routes: dict[Address, _Route] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.apply_published(self.published)

    def apply_published(self, published: Published) -> None:
        """Take over what is published, and keep the tables it leaves valid."""
        members: dict[str, list[Target]] = {}
        for target in published.targets:
            members.setdefault(target.service, []).append(target)
        services = {service.name: service for service in published.services}
        self.published = published
        self._members = {name: tuple(found) for name, found in members.items()}
        self._services = {
            address: service
            for service in published.services
            for address in service.addresses
        }
        self._routes = {}
        self._former = {
            name: table
            for name, table in {**self._former, **self._tables}.items()
            if name in services
        }
        self._tables = {
            name: table
            for name, table in self._tables.items()
            if services.get(name) == table.service
            and self._members.get(name, ()) == table.targets
        }

    def find_table(self, service: Service) -> Table:
        """Return the table of a service, built when it is first asked for."""
        table = self._tables.get(service.name)
        if table is None:
            table = build_table(
                service,
                self._members.get(service.name, ()),
                self._former.pop(service.name, None),
            )
            self._tables[service.name] = table
        return table

    def route(
        self, caller: Address, entry: Address, payload: bytes
    ) -> Forward | DropReason:
        """Choose the agent for a caller's datagram.

        :param caller: address that the datagram came from
        :param entry: service address that it came to
        :param payload: the datagram
        """
        service = self._services.get(entry)
        if service is None:
            return DropReason.UNKNOWN_ENTRY
        table = self._tables.get(service.name) or self.find_table(service)
        target = table.find_owner(find_bucket(caller, entry))
        if target is None:
            return DropReason.NO_TARGET
        if not table.accepts_new_flows and opens_flow(payload):
            return DropReason.NO_TARGET
        envelope = self._make_pattern(service, target, entry)
        return Forward(
            target.agent,
            attrs.evolve(envelope, caller=caller, payload=payload),
        )

    def forward(
        self, caller: bytes, entry: Address, payload: bytes, keys: Keys
    ) -> SealedForward | DropReason:
        """Choose the agent for a caller's datagram, and seal it.

        The same as :meth:`route` and ``seal``, but faster: what is equal for
        all datagrams to one agent is prepared once.

        :param caller: address that the datagram came from, as by
            :func:`~pistachiohook_core.addresses.pack_address`
        :param entry: service address that it came to
        :param payload: the datagram
        :param keys: valid keys of the envelopes
        """
        route = self._routes.get(entry)
        if route is None or route.keys is not keys:
            service = self._services.get(entry)
            if service is None:
                return DropReason.UNKNOWN_ENTRY
            route = self._open_route(service, entry, keys)
        table = route.table
        if not table.owners:
            return DropReason.NO_TARGET
        if not table.accepts_new_flows and opens_flow(payload):
            return DropReason.NO_TARGET
        bucket = find_packed_bucket(caller, route.entry)
        sealer = route.sealers[table.owners[bucket]]
        return SealedForward(sealer.agent, sealer.seal(caller, payload))

    def _open_route(
        self, service: Service, entry: Address, keys: Keys
    ) -> _Route:
        table = self.find_table(service)
        sealers = tuple(
            make_entry_sealer(
                target.agent, self._make_pattern(service, target, entry), keys
            )
            for target in table.targets
        )
        route = _Route(table, pack_address(entry), keys, sealers)
        self._routes[entry] = route
        return route

    def _make_pattern(
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
        """Return whether an agent has applied a later revision."""
        return self._seen_revision > self.published.revision

    def accept_answer(
        self, data: bytes, keys: Keys
    ) -> Result[CallerAnswer, DropReason]:
        """Check an agent's answer before it leaves to the caller.

        :param data: datagram that came to this balancer's address
        :param keys: valid keys of the envelopes
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
        self._seen_revision = max(self._seen_revision, envelope.table_version)
        return Success(
            CallerAnswer(envelope.entry, envelope.caller, envelope.payload)
        )
