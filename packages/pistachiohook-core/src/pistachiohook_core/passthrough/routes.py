"""Versioned routes of pass-through services."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

import attrs
import xxhash

from ..addresses import Address
from ..addresses import pack_address
from ..failures import Failure
from .segments import find_entry

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

#: Largest number of services that a route keeps of its earlier versions.
FORMER_SERVICES_MAX = 4

#: Reason of a failure: the route set is invalid and is never applied.
INVALID = 'invalid'


@attrs.frozen
class Share:
    """Share of a route's new flows that goes to one service.

    :param service: name of the service
    :param weight: weight relative to the other shares of the route
    """

    service: str
    weight: int = 1


@attrs.frozen
class Route:
    """Route from the address that callers send to, to services.

    :param name: name of the route
    :param entry: address that callers send to
    :param shares: services that get its new flows
    :param timeout_ms: time after which a caller stops waiting for its answer
    :param target_latency_ms: time within which an answer should arrive; 0 when
        the route sets none
    :param priority: priority of its flows; 0 is the highest
    :param idempotent: whether a request may run more than once
    :param former_services: services that earlier versions of the route named,
        the newest first; they may have flows of it
    """

    name: str
    entry: Address
    shares: tuple[Share, ...]
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = 0
    idempotent: bool = False
    former_services: tuple[str, ...] = ()


@attrs.frozen
class ColdRate:
    """Requests that targets of a service bear just after their start.

    :param service: name of the service
    :param per_second: requests per second that a cold target bears
    :param seconds: time for which a target is cold after its start
    """

    service: str
    per_second: float
    seconds: float


@attrs.frozen
class RouteSet:
    """Complete set of routes.

    :param version: version of the set; the highest one is applied
    :param services: names of the services
    :param routes: the routes
    :param idle_timeout_ms: time after which an idle flow may be removed
    :param cold_rates: services whose cold targets bear a bounded rate
    """

    version: int
    services: tuple[str, ...]
    routes: tuple[Route, ...]
    idle_timeout_ms: int = 15_000
    cold_rates: tuple[ColdRate, ...] = ()


@attrs.frozen
class RouteTable:
    """Route set indexed by the packed entry address of each route.

    ``cold_rates`` holds the rate of each service that has one.
    """

    version: int
    routes: dict[bytes, Route]
    idle_timeout_ms: int
    cold_rates: dict[str, ColdRate] = attrs.field(factory=dict)

    def find(self, flow: bytes) -> Route | None:
        """Return the route of a flow, or ``None`` when there is none."""
        return self.routes.get(find_entry(flow))


def build_table(routes: RouteSet) -> RouteTable:
    """Return the table of a route set that has passed its check.

    :raises ValueError: when an entry is not an address and a port
    """
    return RouteTable(
        routes.version,
        {pack_address(route.entry): route for route in routes.routes},
        routes.idle_timeout_ms,
        {rate.service: rate for rate in routes.cold_rates},
    )


def check_routes(routes: RouteSet) -> tuple[Failure, ...]:
    """Return every error in a route set; none when it may be applied."""
    entries: set[Address] = set()
    failures: list[Failure] = []
    if routes.version < 1:
        failures.append(_fail('version', 'expected a number above 0'))
    for route in routes.routes:
        failures.extend(_check_route(route, frozenset(routes.services)))
        if route.entry in entries:
            reason = f'{route.entry} belongs to another route'
            failures.append(_fail(route.name, reason))
        entries.add(route.entry)
    return tuple(failures)


def choose_service(route: Route, flow: bytes) -> str:
    """Return the service of a new flow; all balancers choose the same one."""
    if len(route.shares) == 1:
        return route.shares[0].service
    bounds = tuple(accumulate(share.weight for share in route.shares))
    point = xxhash.xxh3_64_intdigest(flow) % bounds[-1]
    chosen = (
        share.service
        for share, bound in zip(route.shares, bounds, strict=True)
        if point < bound
    )
    return next(chosen)


def list_services(route: Route) -> Iterable[str]:
    """Return the services that may own a flow of a route."""
    named = (share.service for share in route.shares)
    return (*named, *route.former_services)


def add_former_services(routes: RouteSet, former: RouteSet) -> RouteSet:
    """Note the services that each route named in the former set, or before.

    :param routes: the new set
    :param former: the set that it replaces
    """
    services = {
        route.entry: dict.fromkeys(list_services(route))
        for route in former.routes
    }
    return attrs.evolve(
        routes,
        routes=tuple(
            _add_former(route, services.get(route.entry, {}))
            for route in routes.routes
        ),
    )


def _add_former(route: Route, services: Iterable[str]) -> Route:
    named = {share.service for share in route.shares}
    former = tuple(service for service in services if service not in named)
    if not former:
        return route
    return attrs.evolve(route, former_services=former[:FORMER_SERVICES_MAX])


def _check_route(route: Route, services: frozenset[str]) -> Iterator[Failure]:
    if route.timeout_ms < 1:
        yield _fail(route.name, 'expected a timeout above 0')
    if not route.shares:
        yield _fail(route.name, 'names no service')
    if any(share.weight < 0 for share in route.shares) or (
        route.shares and not sum(share.weight for share in route.shares)
    ):
        yield _fail(route.name, 'expected weights with a sum above 0')
    for share in route.shares:
        if share.service not in services:
            yield _fail(route.name, f'unknown service {share.service}')


def _fail(peer: str, reason: str) -> Failure:
    return Failure('check routes', peer, reason)
