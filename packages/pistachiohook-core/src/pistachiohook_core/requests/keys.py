"""Idempotency keys: their form, their life, and who replicates them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs
from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Replicas of one key.
REPLICAS = 3

#: Most that two clocks differ, callers' clocks included, in seconds.
CLOCK_SKEW_MAX = 5.0

_FORM = re.compile(r'([0-9]{1,12})-([!-~]{8,128})')


@attrs.frozen(order=True)
class Member:
    """An agent of the service.

    :param agent: name of the agent's target
    :param availability_zone: where it runs
    :param incarnation: number of this start of the agent; grows
    """

    agent: str
    availability_zone: str
    incarnation: int


def read_issue_time(key: str) -> float | None:
    """Return when a key was issued.

    :param key: ``<whole seconds since the epoch>-<random>``
    :returns: seconds since the epoch, or none when the key has another form
    """
    match = _FORM.fullmatch(key)
    return float(match[1]) if match else None


def place_replicas(key: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Choose the agents that replicate a key.

    Rendezvous hashing; another availability zone for each replica as long as
    there is one.

    :param key: the key
    :param members: agents of the service
    :returns: names of at most :data:`REPLICAS` agents, sorted
    """
    ranked = sorted(
        members,
        key=lambda m: xxh3_64_intdigest(f'{key} {m.agent}'.encode()),
        reverse=True,
    )
    first_of_zone = {m.availability_zone: m for m in reversed(ranked)}
    spread = [m for m in ranked if first_of_zone[m.availability_zone] is m]
    others = [m for m in ranked if first_of_zone[m.availability_zone] is not m]
    return tuple(sorted(m.agent for m in [*spread, *others][:REPLICAS]))


def count_majority(replicas: tuple[str, ...]) -> int:
    """Return how many of the replicas are a majority."""
    return len(replicas) // 2 + 1
