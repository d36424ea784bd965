"""Assignment of flows to buckets, and of buckets to targets."""

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

#: Number of buckets of every service; a power of two.
BUCKET_COUNT = 16384

#: Number of targets whose distances stay cached between two builds.
DISTANCE_CACHE_SIZE = 512

_BUCKET_KEYS = tuple(
    bucket.to_bytes(4, 'big') for bucket in range(BUCKET_COUNT)
)
_HASH_RANGE = 2.0**64


@attrs.frozen
class BucketTable:
    """Assigns every bucket of one service to the target that owns it.

    :param service: the service
    :param targets: every target of the service, sorted by name
    :param owners: by bucket, the index of its owner in ``targets``; empty
        without targets
    :param accepts_new_flows: whether any target accepts new flows
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
        """Return all targets, the likeliest holder of a bucket first.

        The order is that of distance / slots. It ignores the targets' weights
        and states.
        """
        return sorted(
            self.targets,
            key=lambda target: (
                _compute_distances(target.name)[bucket] / max(1, target.slots),
                target.name,
            ),
        )


def find_bucket(caller: Address, entry: Address) -> int:
    """Return the bucket of a caller's flow to a service address.

    It does not depend on the service or on the table.
    """
    return find_packed_bucket(pack_address(caller), pack_address(entry))


def find_packed_bucket(caller: bytes, entry: bytes) -> int:
    """Return the bucket of a flow.

    :param caller: packed address of the caller
    :param entry: packed service address
    """
    return xxh3_64_intdigest(caller + entry) & (BUCKET_COUNT - 1)


def build_table(
    service: Service,
    targets: Iterable[Target],
    former: BucketTable | None = None,
) -> BucketTable:
    """Assign the buckets of a service by weighted rendezvous hashing.

    The table does not depend on the order of the targets. A change of one
    target moves only buckets from it or to it. While no target accepts new
    flows, the draining ones own the buckets, so that datagrams of established
    flows still reach a holder.

    :param service: the service
    :param targets: targets; those of other services are ignored
    :param former: an earlier table of the service; when the share of only
        one target differs, the owners are updated from it, which is faster
        and gives the same table
    """
    members = tuple(
        sorted(
            (target for target in targets if target.service == service.name),
            key=lambda target: target.name,
        )
    )
    owners = _update_owners(former, members) or _compute_owners(members)
    accepts_new_flows = any(map(_compute_share, members))
    return BucketTable(service, members, owners, accepts_new_flows)


def _compute_share(target: Target) -> float:
    # A target owns buckets in proportion to its share.
    if target.state is TargetState.DRAINING:
        return 0.0
    return float(target.slots * target.weight)


def _compute_shares(members: tuple[Target, ...]) -> list[float]:
    shares = [_compute_share(target) for target in members]
    if any(shares):
        return shares
    # No target accepts new flows: all own buckets in proportion to their
    # slots.
    return [float(max(1, target.slots)) for target in members]


def _compute_owners(members: tuple[Target, ...]) -> array[int]:
    shares = _compute_shares(members)
    eligible = [index for index, share in enumerate(shares) if share > 0]
    columns = [
        [
            distance / shares[index]
            for distance in _compute_distances(members[index].name)
        ]
        for index in eligible
    ]
    return array(
        'H',
        (eligible[row.index(min(row))] for row in zip(*columns, strict=True)),
    )


def _update_owners(
    former: BucketTable | None, members: tuple[Target, ...]
) -> array[int] | None:
    if former is None or not _has_same_names(former, members):
        return None
    before = _compute_shares(former.targets)
    after = _compute_shares(members)
    changed = [
        index
        for index, pair in enumerate(zip(before, after, strict=True))
        if pair[0] != pair[1]
    ]
    if not changed:
        return former.owners
    if len(changed) > 1:
        return None
    columns = [_compute_distances(target.name) for target in members]
    if after[changed[0]] > before[changed[0]]:
        return _move_buckets_to(former.owners, changed[0], after, columns)
    return _move_buckets_from(former.owners, changed[0], after, columns)


def _has_same_names(former: BucketTable, members: tuple[Target, ...]) -> bool:
    return [one.name for one in former.targets] == [
        one.name for one in members
    ]


def _move_buckets_to(
    owners: array[int],
    gaining: int,
    shares: list[float],
    columns: list[array[float]],
) -> array[int]:
    share = shares[gaining]
    return array(
        'H',
        (
            gaining
            if (distance / share, gaining)
            < (columns[owner][bucket] / shares[owner], owner)
            else owner
            for bucket, (owner, distance) in enumerate(
                zip(owners, columns[gaining], strict=True)
            )
        ),
    )


def _move_buckets_from(
    owners: array[int],
    losing: int,
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
            find_nearest(bucket) if owner == losing else owner
            for bucket, owner in enumerate(owners)
        ),
    )


@lru_cache(DISTANCE_CACHE_SIZE)
def _compute_distances(name: str) -> array[float]:
    # The distances are exponentially distributed, so that the probability of
    # a target to have the least distance / share is in proportion to its
    # share.
    seed = xxh3_64_intdigest(name.encode())
    return array(
        'd',
        (
            -log((xxh3_64_intdigest(key, seed) + 1) / _HASH_RANGE)
            for key in _BUCKET_KEYS
        ),
    )
