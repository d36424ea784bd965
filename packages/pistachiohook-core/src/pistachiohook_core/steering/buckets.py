"""Tables of buckets, and the target that owns each bucket."""

from __future__ import annotations

from array import array
from functools import lru_cache
from math import log
from typing import TYPE_CHECKING

import attrs
from xxhash import xxh3_64_intdigest

from ..addresses import pack_address
from ..published import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..addresses import Address
    from ..published import Service
    from ..published import Target

#: Buckets of every service; a power of two.
BUCKET_COUNT = 16384

#: Targets whose distances are kept between two builds.
DISTANCES_KEPT = 512

_BUCKET_KEYS = tuple(
    bucket.to_bytes(4, 'big') for bucket in range(BUCKET_COUNT)
)
_HASH_RANGE = 2.0**64


@attrs.frozen
class Table:
    """The owner of every bucket of one service.

    :param service: the service
    :param targets: every target of the service, sorted by name
    :param owners: index into the targets by bucket; empty without targets
    :param accepts_new_flows: whether a target takes new flows
    """

    service: Service
    targets: tuple[Target, ...]
    owners: array[int]
    accepts_new_flows: bool

    def find_owner(self, bucket: int) -> Target | None:
        """Return the target that owns a bucket, or None without targets."""
        return self.targets[self.owners[bucket]] if self.owners else None

    def find_bucket(self, caller: Address, entry: Address) -> int:
        """Return the bucket of a caller's flow to a service address."""
        return find_bucket(caller, entry)

    def rank_targets(self, bucket: int) -> list[Target]:
        """Return all targets, the likeliest holder of a bucket first."""
        return sorted(
            self.targets,
            key=lambda target: (
                _measure_distances(target.name)[bucket] / max(1, target.slots),
                target.name,
            ),
        )


def find_bucket(caller: Address, entry: Address) -> int:
    """Return the bucket of a caller's flow to a service address.

    It is the same for every service and table.
    """
    return find_packed_bucket(pack_address(caller), pack_address(entry))


def find_packed_bucket(caller: bytes, entry: bytes) -> int:
    """Return the bucket of a flow, from packed addresses."""
    return xxh3_64_intdigest(caller + entry) & (BUCKET_COUNT - 1)


def build_table(
    service: Service, targets: Iterable[Target], former: Table | None = None
) -> Table:
    """Give each bucket an owner by weighted rendezvous hashing.

    Equal input gives an equal table, whatever the order of the targets. A
    change of one target moves only buckets from it or to it. While no target
    takes new flows, the draining ones own the buckets, so that established
    flows can still be reached.

    :param service: the service
    :param targets: targets; those of other services are left out
    :param former: an earlier table of the service; a change of one share is
        worked out from it, with the same result
    """
    members = tuple(
        sorted(
            (target for target in targets if target.service == service.name),
            key=lambda target: target.name,
        )
    )
    owners = _move_owners(former, members) or _choose_owners(members)
    accepts_new_flows = any(map(_weigh, members))
    return Table(service, members, owners, accepts_new_flows)


def _weigh(target: Target) -> float:
    if target.state is TargetState.DRAINING:
        return 0.0
    return float(target.slots * target.weight)


def _list_shares(members: tuple[Target, ...]) -> list[float]:
    shares = [_weigh(target) for target in members]
    if any(shares):
        return shares
    return [float(max(1, target.slots)) for target in members]


def _choose_owners(members: tuple[Target, ...]) -> array[int]:
    shares = _list_shares(members)
    eligible = [index for index, share in enumerate(shares) if share > 0]
    columns = [
        [
            distance / shares[index]
            for distance in _measure_distances(members[index].name)
        ]
        for index in eligible
    ]
    return array(
        'H',
        (eligible[row.index(min(row))] for row in zip(*columns, strict=True)),
    )


def _move_owners(
    former: Table | None, members: tuple[Target, ...]
) -> array[int] | None:
    if former is None or not _has_names(former, members):
        return None
    before = _list_shares(former.targets)
    after = _list_shares(members)
    changed = [
        index
        for index, pair in enumerate(zip(before, after, strict=True))
        if pair[0] != pair[1]
    ]
    if not changed:
        return former.owners
    if len(changed) > 1:
        return None
    columns = [_measure_distances(target.name) for target in members]
    if after[changed[0]] > before[changed[0]]:
        return _take_buckets(former.owners, changed[0], after, columns)
    return _give_buckets(former.owners, changed[0], after, columns)


def _has_names(former: Table, members: tuple[Target, ...]) -> bool:
    return [one.name for one in former.targets] == [
        one.name for one in members
    ]


def _take_buckets(
    owners: array[int],
    taker: int,
    shares: list[float],
    columns: list[array[float]],
) -> array[int]:
    share = shares[taker]
    return array(
        'H',
        (
            taker
            if (distance / share, taker)
            < (columns[owner][bucket] / shares[owner], owner)
            else owner
            for bucket, (owner, distance) in enumerate(
                zip(owners, columns[taker], strict=True)
            )
        ),
    )


def _give_buckets(
    owners: array[int],
    giver: int,
    shares: list[float],
    columns: list[array[float]],
) -> array[int]:
    eligible = [index for index, share in enumerate(shares) if share > 0]

    def find_nearest(bucket: int) -> int:
        return min(
            eligible, key=lambda index: columns[index][bucket] / shares[index]
        )

    return array(
        'H',
        (
            find_nearest(bucket) if owner == giver else owner
            for bucket, owner in enumerate(owners)
        ),
    )


@lru_cache(DISTANCES_KEPT)
def _measure_distances(name: str) -> array[float]:
    # Exponentially distributed: the least of distance / share over the
    # targets falls to each target in proportion to its share.
    seed = xxh3_64_intdigest(name.encode())
    return array(
        'd',
        (
            -log((xxh3_64_intdigest(key, seed) + 1) / _HASH_RANGE)
            for key in _BUCKET_KEYS
        ),
    )
