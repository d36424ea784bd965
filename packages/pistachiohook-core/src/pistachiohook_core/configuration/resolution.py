"""Derives the published services from the configuration objects."""

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
    """Return the published services, with the limits of their policies.

    :param objects: configuration that passed the check
    :param numbers: fencing number of every service in it
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
    objects: ObjectSet, numbers: Mapping[str, int], next_number: int
) -> dict[str, int]:
    """Assign a fencing number that was never used to each new service.

    :param objects: configuration that passed the check
    :param numbers: fencing numbers of the present services
    :param next_number: next number to assign
    :returns: fencing number of every service of the configuration
    """
    new = sorted(set(objects.services) - set(numbers))
    assigned = {name: next_number + offset for offset, name in enumerate(new)}
    return {
        name: numbers[name] if name in numbers else assigned[name]
        for name in objects.services
    }


def is_admitted(objects: ObjectSet, target: Target) -> bool:
    """Return whether a target may serve the service that it announces.

    The service must exist and, when it names places, one of them must contain
    the availability zone of the target.
    """
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
    """Yield the kind and name of each object that differs."""
    pairs = (
        ('service', before.services, after.services),
        ('place', before.places, after.places),
        ('policy', before.policies, after.policies),
    )
    for kind, old, new in pairs:
        for name in sorted({*old, *new}):
            if old.get(name) != new.get(name):
                yield f'{kind} {name}'
