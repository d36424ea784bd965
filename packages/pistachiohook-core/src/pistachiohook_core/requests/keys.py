"""Format of idempotency keys and placement of their replicas."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs
from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Number of agents that replicate one key.
REPLICAS = 3

#: Largest difference tolerated between two clocks, callers' clocks included,
#: in seconds.
CLOCK_SKEW_MAX = 5.0

_KEY_PATTERN = re.compile(r'([0-9]{1,12})-([!-~]{8,128})')


@attrs.frozen(order=True)
class Member:
    """An agent of the service.

    :param agent: name of the agent's target
    :param availability_zone: availability zone in which it runs
    :param incarnation: number of this start of the agent; increases with
        each start
    """

    agent: str
    availability_zone: str
    incarnation: int


def read_issue_time(key: str) -> float | None:
    """Return the time at which a key was issued.

    :param key: ``<whole seconds since the epoch>-<random>``
    :returns: seconds since the epoch, or none when the key is malformed
    """
    match = _KEY_PATTERN.fullmatch(key)
    return float(match[1]) if match else None


def place_replicas(key: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Choose the agents that replicate a key.

    Uses rendezvous hashing and places the replicas in different availability
    zones as far as there are enough of them.

    :param key: the key
    :param members: agents of the service
    :returns: names of at most :data:`REPLICAS` agents, sorted
    """
    ranked = sorted(
        members,
        key=lambda m: xxh3_64_intdigest(f'{key} {m.agent}'.encode()),
        reverse=True,
    )
    best_of_zone = {m.availability_zone: m for m in reversed(ranked)}
    first_per_zone = [
        m for m in ranked if best_of_zone[m.availability_zone] is m
    ]
    others = [m for m in ranked if best_of_zone[m.availability_zone] is not m]
    return tuple(
        sorted(m.agent for m in [*first_per_zone, *others][:REPLICAS])
    )


def count_majority(replicas: tuple[str, ...]) -> int:
    """Return the size of a majority of the replicas."""
    return len(replicas) // 2 + 1
