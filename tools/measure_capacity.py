"""Slopes of state and time over sizes, for the page on capacity."""

from __future__ import annotations

from collections.abc import Callable
import gc
import json
import time
import tracemalloc
from typing import Any

import attrs
import msgspec
from pistachiohook_core.addresses import Address
from pistachiohook_core.membership.deltas import apply_delta
from pistachiohook_core.published import Delta
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.requests.ledger_messages import AgentIncarnation
from pistachiohook_core.requests.ledger_messages import Record
from pistachiohook_core.requests.ledger_messages import RecordState
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.subscription_messages import Heartbeat
from pistachiohook_core.subscription_messages import SUBSCRIPTION_CODEC
from pistachiohook_core.subscription_messages import Update

#: Targets of the three sizes.
SIZES = (1_000, 4_000, 16_000)

#: Targets of one service.
TARGETS_EACH = 3

#: Targets of one service for the cost of a table.
TABLE_TARGETS = (3, 7, 15)

#: Times that a short act is repeated.
REPEATS = 20

#: Bytes of the answer in a ledger record.
ANSWER_LENGTH = 200


@attrs.frozen
class Point:
    """What one size has shown.

    :param size: number of targets
    :param memory: bytes that the published state takes at a node
    :param encoded: bytes of its snapshot on the wire
    :param delta: time to apply one changed target, in seconds
    :param router: bytes that a balancer's index takes, without tables
    """

    size: int
    memory: int
    encoded: int
    delta: float
    router: int


def main() -> None:
    """Measure, and print one line of JSON."""
    points = [measure_size(size) for size in SIZES]
    tables = [measure_table(count) for count in TABLE_TARGETS]
    line = {
        'sizes': list(SIZES),
        'node_bytes_per_target': find_slope(points, 'memory'),
        'balancer_index_bytes_per_target': find_slope(points, 'router'),
        'snapshot_bytes_per_target': find_slope(points, 'encoded'),
        'delta_ms_at_sizes': [round(one.delta * 1e3, 2) for one in points],
        'delta_bytes_of_one_restart': len(encode_restart()),
        'heartbeat_bytes': len(encode_heartbeat()),
        'idle_update_bytes': len(
            SUBSCRIPTION_CODEC.encode(Update(1 << 30, 0.1, True))
        ),
        'table_targets': list(TABLE_TARGETS),
        'table_bytes': [memory for memory, _ in tables],
        'table_ms': [round(spent * 1e3, 1) for _, spent in tables],
        'ledger_bytes_per_key': measure_records(),
    }
    print(json.dumps(line))


def make_target(number: int) -> Target:
    """Return one of many targets."""
    host = f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
    return Target(
        name=f'target-{number}',
        service=f'service-{number // TARGETS_EACH}',
        availability_zone=f'zone-{number % 18}',
        agent=Address(host, 7001),
        link=Address(host, 7000),
        incarnation=1_764_800_000_000_000_000 + number,
        slots=4,
        hand_over=Address(host, 7002),
    )


def make_published(size: int) -> PublishedState:
    """Return a published state of many targets."""
    services = tuple(
        Service(f'service-{number}', number, (make_entry(number),))
        for number in range(size // TARGETS_EACH + 1)
    )
    targets = tuple(make_target(number) for number in range(size))
    return PublishedState(1, 1, services, targets, ())


def make_entry(number: int) -> Address:
    """Return the service address of one of many services."""
    return Address(f'10.{200 + (number >> 16)}.{number >> 8 & 255}.1', number)


def measure_size(size: int) -> Point:
    """Measure one size."""
    encoded = msgspec.msgpack.encode(make_published(size))
    memory, published = trace(
        lambda: msgspec.msgpack.decode(encoded, type=PublishedState)
    )
    router, _ = trace(
        lambda: BalancerRouter(Address('10.0.0.1', 1), published)
    )
    changed = attrs.evolve(make_target(size // 2), incarnation=1 << 61)
    delta = Delta(1, 2, 1, targets=(changed,))
    spent = measure_time(lambda: apply_delta(published, delta))
    return Point(size, memory, len(encoded), spent, router)


def measure_table(count: int) -> tuple[int, float]:
    """Return bytes and seconds that one service's table takes."""
    service = Service('service-0', 1, (make_entry(0),))
    targets = tuple(
        attrs.evolve(make_target(number), service='service-0')
        for number in range(count)
    )
    published = PublishedState(1, 1, (service,), targets, ())

    def make_router() -> BalancerRouter:
        return BalancerRouter(Address('10.0.0.1', 1), published)

    router = make_router()
    memory, _ = trace(lambda: router.find_table(service))
    spent = measure_time(lambda: make_router().find_table(service))
    return memory, spent


def measure_records() -> int:
    """Return the bytes that a ledger replica keeps for one key."""
    count = 10_000

    def make_records() -> dict[str, Record]:
        keys = (f'1764800000-{number:016x}' for number in range(count))
        return {
            key: Record(
                key,
                key.encode()[:16],
                AgentIncarnation('target-1', 1),
                RecordState.DONE,
                bytes(ANSWER_LENGTH),
            )
            for key in keys
        }

    memory, _ = trace(make_records)
    return memory // count


def encode_restart() -> bytes:
    """Return an update that tells of one target's restart."""
    service = Service('service-0', 1, (make_entry(0),), membership=1 << 30)
    target = make_target(1)
    delta = Delta(1 << 30, 1 << 30, 1, (service,), (target,))
    return SUBSCRIPTION_CODEC.encode(Update(1 << 30, 0.1, True, None, delta))


def encode_heartbeat() -> bytes:
    """Return an agent's heartbeat."""
    return SUBSCRIPTION_CODEC.encode(
        Heartbeat('agent-1', 1 << 60, 1 << 30, True, make_target(1))
    )


def trace(make: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that something takes, and the thing."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory, made


def measure_time(act: Callable[[], Any]) -> float:
    """Return the seconds that an act takes, the median of several."""
    spent = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        act()
        spent.append(time.perf_counter() - started)
    return sorted(spent)[REPEATS // 2]


def find_slope(points: list[Point], name: str) -> float:
    """Return the growth of one value a target, by least squares."""
    sizes = [point.size for point in points]
    values: list[float] = [getattr(point, name) for point in points]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    above = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    below = sum((size - mean_size) ** 2 for size in sizes)
    slope: float = above / below
    return round(slope, 1)


if __name__ == '__main__':
    main()
