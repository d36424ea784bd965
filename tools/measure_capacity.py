"""Measure how memory, message sizes and times grow with the configuration.

The figures are those of the page on capacity.
"""

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

#: Numbers of targets for which the published state is measured.
SIZES = (1_000, 4_000, 16_000)

#: Number of targets of each service.
TARGETS_PER_SERVICE = 3

#: Numbers of targets for which the bucket table of a service is measured.
TABLE_TARGETS = (3, 7, 15)

#: Number of calls whose median time is taken.
REPEATS = 20

#: Length of the stored response in a ledger record, in bytes.
RESPONSE_LENGTH = 200


@attrs.frozen
class SizeFigures:
    """Figures for one number of targets.

    :param size: number of targets
    :param memory: memory of the published state at a node, in bytes
    :param encoded: length of its encoded snapshot, in bytes
    :param delta: time to apply a delta with one changed target, in seconds
    :param router: memory of a balancer's router without bucket tables, in
        bytes
    """

    size: int
    memory: int
    encoded: int
    delta: float
    router: int


def main() -> None:
    """Measure, and print the figures as one line of JSON."""
    figures = [measure_size(size) for size in SIZES]
    tables = [measure_table(count) for count in TABLE_TARGETS]
    line = {
        'sizes': list(SIZES),
        'node_bytes_per_target': compute_slope(figures, 'memory'),
        'balancer_index_bytes_per_target': compute_slope(figures, 'router'),
        'snapshot_bytes_per_target': compute_slope(figures, 'encoded'),
        'delta_ms_at_sizes': [round(one.delta * 1e3, 2) for one in figures],
        'delta_bytes_of_one_restart': len(encode_restart()),
        'heartbeat_bytes': len(encode_heartbeat()),
        'idle_update_bytes': len(
            SUBSCRIPTION_CODEC.encode(Update(1 << 30, 0.1, True))
        ),
        'table_targets': list(TABLE_TARGETS),
        'table_bytes': [memory for memory, _ in tables],
        'table_ms': [round(duration * 1e3, 1) for _, duration in tables],
        'ledger_bytes_per_key': measure_records(),
    }
    print(json.dumps(line))


def make_target(number: int) -> Target:
    """Return the target of a number."""
    host = f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
    return Target(
        name=f'target-{number}',
        service=f'service-{number // TARGETS_PER_SERVICE}',
        availability_zone=f'zone-{number % 18}',
        agent=Address(host, 7001),
        link=Address(host, 7000),
        incarnation=1_764_800_000_000_000_000 + number,
        slots=4,
        hand_over=Address(host, 7002),
    )


def make_published(size: int) -> PublishedState:
    """Return a published state with this number of targets."""
    services = tuple(
        Service(f'service-{number}', number, (make_service_address(number),))
        for number in range(size // TARGETS_PER_SERVICE + 1)
    )
    targets = tuple(make_target(number) for number in range(size))
    return PublishedState(1, 1, services, targets, ())


def make_service_address(number: int) -> Address:
    """Return the address of the service of a number."""
    return Address(f'10.{200 + (number >> 16)}.{number >> 8 & 255}.1', number)


def measure_size(size: int) -> SizeFigures:
    """Return the figures for one number of targets."""
    encoded = msgspec.msgpack.encode(make_published(size))
    memory, published = measure_memory(
        lambda: msgspec.msgpack.decode(encoded, type=PublishedState)
    )
    router, _ = measure_memory(
        lambda: BalancerRouter(Address('10.0.0.1', 1), published)
    )
    changed = attrs.evolve(make_target(size // 2), incarnation=1 << 61)
    delta = Delta(1, 2, 1, targets=(changed,))
    duration = measure_time(lambda: apply_delta(published, delta))
    return SizeFigures(size, memory, len(encoded), duration, router)


def measure_table(count: int) -> tuple[int, float]:
    """Measure the bucket table of one service.

    :param count: number of targets of the service
    :returns: memory of the table in bytes, and time to build it in seconds
    """
    service = Service('service-0', 1, (make_service_address(0),))
    targets = tuple(
        attrs.evolve(make_target(number), service='service-0')
        for number in range(count)
    )
    published = PublishedState(1, 1, (service,), targets, ())

    def make_router() -> BalancerRouter:
        return BalancerRouter(Address('10.0.0.1', 1), published)

    router = make_router()
    memory, _ = measure_memory(lambda: router.find_table(service))
    duration = measure_time(lambda: make_router().find_table(service))
    return memory, duration


def measure_records() -> int:
    """Return the memory per idempotency key in a ledger replica, in bytes."""
    count = 10_000

    def make_records() -> dict[str, Record]:
        keys = (f'1764800000-{number:016x}' for number in range(count))
        return {
            key: Record(
                key,
                key.encode()[:16],
                AgentIncarnation('target-1', 1),
                RecordState.DONE,
                bytes(RESPONSE_LENGTH),
            )
            for key in keys
        }

    memory, _ = measure_memory(make_records)
    return memory // count


def encode_restart() -> bytes:
    """Return the encoded update that reports the restart of one target."""
    service = Service(
        'service-0', 1, (make_service_address(0),), membership=1 << 30
    )
    target = make_target(1)
    delta = Delta(1 << 30, 1 << 30, 1, (service,), (target,))
    return SUBSCRIPTION_CODEC.encode(Update(1 << 30, 0.1, True, None, delta))


def encode_heartbeat() -> bytes:
    """Return the encoded heartbeat of an agent."""
    return SUBSCRIPTION_CODEC.encode(
        Heartbeat('agent-1', 1 << 60, 1 << 30, True, make_target(1))
    )


def measure_memory(make: Callable[[], Any]) -> tuple[int, Any]:
    """Call a function and measure the memory of its result.

    :returns: allocated memory in bytes, and the result
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory, made


def measure_time(function: Callable[[], Any]) -> float:
    """Return the median time of several calls of a function, in seconds."""
    durations = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        function()
        durations.append(time.perf_counter() - started)
    return sorted(durations)[REPEATS // 2]


def compute_slope(figures: list[SizeFigures], name: str) -> float:
    """Return the least-squares slope of one figure over the number of targets.

    :param name: attribute of :class:`SizeFigures`
    """
    sizes = [one.size for one in figures]
    values: list[float] = [getattr(one, name) for one in figures]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    numerator = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    denominator = sum((size - mean_size) ** 2 for size in sizes)
    slope: float = numerator / denominator
    return round(slope, 1)


if __name__ == '__main__':
    main()
