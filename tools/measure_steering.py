"""Measure the steering of datagrams, and print the figures as JSON.

Bounds, from the stated targets: forwarding at least 0.5 of a bare loop that
receives, hashes and sends; one target's change among n moves at most 1.2/n of
the buckets; the busiest target has at most 1.25 of the mean; the balancer's
memory does not grow with the flows. The exit status is 1 out of bounds.
"""

from __future__ import annotations

from collections import Counter
import gc
import json
import os
import platform
import socket
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import pack_address
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.published import Target
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.balancer import SealedForward
from pistachiohook_core.steering.buckets import build_table
from pistachiohook_core.steering.envelope import Keys
from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable

#: Targets of the measured service.
TARGETS = 7

#: Targets of the services whose moved share is measured.
MOVED_TARGETS = (4, 7, 50)

#: Sizes of the forwarded datagrams, in bytes.
PAYLOAD_SIZES = (64, 1200)

#: Datagrams that wait in the socket when a round begins.
ROUND_DATAGRAMS = 50

#: Rounds of each loop and size; the two loops take turns.
ROUNDS = 400

#: Lookups that are timed.
LOOKUPS = 100_000

#: Flows that are steered while memory is watched.
FLOWS = (1_000, 200_000)

#: Flows whose imbalance is measured.
IMBALANCE_FLOWS = 1_000

FORWARD_MIN = 0.5
MOVED_MAX = 1.2
IMBALANCE_MAX = 1.25

#: Most that the balancer's memory may grow between the two counts of flows,
#: in bytes for each flow.
MEMORY_PER_FLOW_MAX = 1.0

_LOOPBACK = '127.0.0.1'
_KEYS = Keys(bytes(32))
_ENTRY = Address(_LOOPBACK, 443)
_SERVICE = Service('measured', 1, (_ENTRY,))


def main() -> int:
    """Measure everything.

    :returns: 0 when every figure is within its bound, else 1
    """
    report(f'machine: {platform.platform()}, {os.cpu_count()} processors')
    report(f'python: {platform.python_version()}')
    forwarding = {size: measure_forwarding(size) for size in PAYLOAD_SIZES}
    for size, ratio in forwarding.items():
        report(f'forwarding {size} bytes: {ratio:.3f} of the bare loop')
    moved = {count: measure_moved_share(count) for count in MOVED_TARGETS}
    for count, share in moved.items():
        report(f'one of {count} targets: {share:.3f} of its share moved')
    figures = {
        'forward_over_bare_loop': round(min(forwarding.values()), 3),
        'lookup_ns': round(measure_lookup()),
        'moved_share_on_one_change': round(moved[TARGETS] / TARGETS, 4),
        'moved_over_one_share_max': round(max(moved.values()), 3),
        'imbalance_max_over_mean': round(measure_imbalance(), 3),
        'memory_per_flow_bytes': round(measure_memory(), 3),
    }
    failed = list_failures(figures)
    for name in failed:
        report(f'out of bounds: {name}')
    print(json.dumps({**figures, 'within_bounds': not failed}))
    return 1 if failed else 0


def report(line: str) -> None:
    """Print one line for the reader."""
    print(line, flush=True)


def list_failures(figures: dict[str, float]) -> list[str]:
    """Return the names of the figures that are out of their bounds."""
    checks: dict[str, Callable[[float], bool]] = {
        'forward_over_bare_loop': lambda value: value >= FORWARD_MIN,
        'moved_over_one_share_max': lambda value: value <= MOVED_MAX,
        'imbalance_max_over_mean': lambda value: value <= IMBALANCE_MAX,
        'memory_per_flow_bytes': lambda value: value <= MEMORY_PER_FLOW_MAX,
    }
    return [name for name, check in checks.items() if not check(figures[name])]


def make_targets(count: int, agent: Address) -> tuple[Target, ...]:
    """Return equal targets that all receive at one address."""
    return tuple(
        Target(f'target-{n}', 'measured', 'zone', agent, agent, 1, 4)
        for n in range(count)
    )


def make_router(agent: Address) -> BalancerRouter:
    """Return a router whose table is built."""
    targets = make_targets(TARGETS, agent)
    published = PublishedState(1, 1, (_SERVICE,), targets)
    router = BalancerRouter(Address(_LOOPBACK, 1), published)
    router.find_table(_SERVICE)
    return router


def open_socket() -> socket.socket:
    """Return a UDP socket on loopback."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((_LOOPBACK, 0))
    opened.settimeout(5.0)
    return opened


def measure_forwarding(size: int) -> float:
    """Return how fast a balancer forwards, over the bare loop.

    Each round fills the socket, and times one loop that empties it.

    :param size: size of the datagrams, in bytes
    """
    with (
        open_socket() as sender,
        open_socket() as entry,
        open_socket() as sink,
    ):
        loops = (
            make_bare_loop(entry, sink.getsockname()),
            make_forward_loop(entry, sink.getsockname()),
        )
        payload = b'\x40' + bytes(size - 1)
        spent = [0.0, 0.0]
        for number in range(2 * ROUNDS):
            for _ in range(ROUND_DATAGRAMS):
                sender.sendto(payload, entry.getsockname())
            started = time.perf_counter()
            for _ in range(ROUND_DATAGRAMS):
                loops[number % 2]()
            spent[number % 2] += time.perf_counter() - started
    for name, seconds in zip(('bare', 'forward'), spent, strict=True):
        each = seconds / ROUNDS / ROUND_DATAGRAMS
        report(f'{name} loop, {size} bytes: {each * 1e6:.2f} us a datagram')
    return spent[0] / spent[1]


def make_bare_loop(
    entry: socket.socket, sink: tuple[str, int]
) -> Callable[[], None]:
    """Return a function that receives, hashes and sends one datagram."""
    targets = [sink] * TARGETS

    def forward_one() -> None:
        payload, caller = entry.recvfrom(2048)
        key = f'{caller[0]}:{caller[1]}'.encode()
        target = targets[xxh3_64_intdigest(key) % TARGETS]
        entry.sendto(payload, target)

    return forward_one


def make_forward_loop(
    entry: socket.socket, sink: tuple[str, int]
) -> Callable[[], None]:
    """Return a function that does a balancer's whole work on a datagram."""
    router = make_router(Address(*sink))

    def forward_one() -> None:
        payload, caller = entry.recvfrom(2048)
        packed = socket.inet_aton(caller[0]) + caller[1].to_bytes(2, 'big')
        found = router.forward(packed, _ENTRY, payload, _KEYS)
        if isinstance(found, SealedForward):
            agent = found.agent
            entry.sendto(found.data, (agent.host, agent.port))

    return forward_one


def measure_lookup() -> float:
    """Return the time to find the owner of a caller's bucket, in ns."""
    table = make_router(_ENTRY).find_table(_SERVICE)
    callers = [Address('10.0.0.1', 1024 + n % 60000) for n in range(LOOKUPS)]
    started = time.perf_counter()
    for caller in callers:
        table.find_owner(table.find_bucket(caller, _ENTRY))
    return (time.perf_counter() - started) / LOOKUPS * 1e9


def measure_moved_share(count: int) -> float:
    """Return the buckets that move with one target, over its equal share.

    :param count: targets of the service
    :returns: the largest share over the removal of each target
    """
    targets = make_targets(count, _ENTRY)
    before = build_table(_SERVICE, targets)
    moved = (
        sum(
            before.targets[one].name != after.targets[other].name
            for one, other in zip(before.owners, after.owners, strict=True)
        )
        for after in (
            build_table(_SERVICE, [*targets[:gone], *targets[gone + 1 :]])
            for gone in range(count)
        )
    )
    return max(moved) / len(before.owners) * count


def measure_imbalance() -> float:
    """Return the busiest of the equal targets over the mean, in flows."""
    table = make_router(_ENTRY).find_table(_SERVICE)
    loads = Counter(
        table.find_owner(table.find_bucket(Address('10.0.0.1', port), _ENTRY))
        for port in range(20_000, 20_000 + IMBALANCE_FLOWS)
    )
    return max(loads.values()) / IMBALANCE_FLOWS * TARGETS


def measure_memory() -> float:
    """Return the growth of the balancer's memory, in bytes for each flow."""
    router = make_router(_ENTRY)
    tracemalloc.start()
    sizes = [measure_memory_after(router, count) for count in FLOWS]
    tracemalloc.stop()
    for count, size in zip(FLOWS, sizes, strict=True):
        report(f'after {count} flows: {size} bytes held')
    return (sizes[1] - sizes[0]) / (FLOWS[1] - FLOWS[0])


def measure_memory_after(router: BalancerRouter, count: int) -> int:
    """Steer a datagram of each flow, and return what is held then."""
    for number in range(count):
        caller = Address(f'10.0.{number >> 14}.1', 1024 + number % 16384)
        router.forward(pack_address(caller), _ENTRY, b'\x40', _KEYS)
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


if __name__ == '__main__':
    sys.exit(main())
