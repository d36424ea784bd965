"""From objects to the services that are published."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.pipeline import is_successful

from ..addresses import parse_address
from ..published import Service

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from ..published import Target
    from .objects import ObjectSet


def resolve_services(
    objects: ObjectSet, numbers: Mapping[str, int]
) -> dict[str, Service]:
    """Fill in the limits of each service's policy.

    :param objects: a checked set
    :param numbers: fencing number of every service of the set
    """
    return {
        name: Service(
            name=name,
            number=numbers[name],
            addresses=tuple(
                result.unwrap()
                for result in map(parse_address, service.addresses)
                if is_successful(result)
            ),
            **attrs.asdict(objects.policies[service.policy]),
        )
        for name, service in sorted(objects.services.items())
    }


def assign_numbers(
    objects: ObjectSet, numbers: Mapping[str, int], following: int
) -> dict[str, int]:
    """Give each new service a number that no service ever had.

    :param objects: a checked set
    :param numbers: numbers of the services before
    :param following: first number that was never given
    """
    new = sorted(set(objects.services) - set(numbers))
    given = {name: following + place for place, name in enumerate(new)}
    return {
        name: numbers[name] if name in numbers else given[name]
        for name in objects.services
    }


def is_admitted(objects: ObjectSet, target: Target) -> bool:
    """Return whether a target may serve the service that it announces."""
    service = objects.services.get(target.service)
    if service is None:
        return False
    zones = {
        zone
        for place in service.places
        for zone in objects.places[place].availability_zones
    }
    return not zones or target.availability_zone in zones


def list_changed(before: ObjectSet, after: ObjectSet) -> Iterator[str]:
    """Yield kind and name of the objects that differ."""
    pairs = (
        ('service', before.services, after.services),
        ('place', before.places, after.places),
        ('policy', before.policies, after.policies),
    )
    for kind, old, new in pairs:
        for name in sorted({*old, *new}):
            if old.get(name) != new.get(name):
                yield f'{kind} {name}'
