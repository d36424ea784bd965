"""Steering at a balancer, which keeps no state per flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..published import Published
from .buckets import build_table
from .buckets import find_bucket
from .drops import DropReason
from .envelope import Envelope
from .envelope import Kind
from .envelope import unseal
from .quic import opens_flow

if TYPE_CHECKING:
    from ..addresses import Address
    from ..published import Service
    from ..published import Target
    from .buckets import Table
    from .envelope import Keys


@attrs.frozen
class Forward:
    """An envelope, and the agent that it goes to.

    :param agent: where the agent receives envelopes
    :param envelope: what is to be sealed and sent
    """

    agent: Address
    envelope: Envelope


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
    _tables: dict[str, Table] = attrs.field(factory=dict, init=False)

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
            table = build_table(service, self._members.get(service.name, ()))
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
        if not table.accepts_new and opens_flow(payload):
            return DropReason.NO_TARGET
        return Forward(
            target.agent,
            Envelope(
                Kind.ENTRY,
                service.number,
                target.incarnation,
                self.published.revision,
                0,
                caller,
                entry,
                self.address,
                payload,
            ),
        )

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
        return Success(
            CallerAnswer(envelope.entry, envelope.caller, envelope.payload)
        )
