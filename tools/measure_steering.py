"""Measure the steering of datagrams, and print the figures as JSON.

The exit status is 1 unless every figure is within its bound. The bounds are
the stated performance targets:

- A balancer forwards at least half as fast as a bare loop, which receives,
  hashes and sends.
- The removal of one of n targets moves at most 1.2/n of the buckets.
- The busiest target has at most 1.25 times the mean number of flows.
- The memory of the balancer does not grow with the number of flows.
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

#: Number of targets of the measured service.
TARGETS = 7

#: Numbers of targets for which the share of moved buckets is measured.
MOVED_TARGETS = (4, 7, 50)

#: Sizes of the forwarded datagrams, in bytes.
PAYLOAD_SIZES = (64, 1200)

#: Number of datagrams in the socket's receive buffer when a round begins.
ROUND_DATAGRAMS = 50

#: Number of rounds of each loop and size; the two loops alternate.
ROUNDS = 400

#: Number of lookups that are timed.
LOOKUPS = 100_000

#: Numbers of flows after which the memory is measured.
FLOWS = (1_000, 200_000)

#: Number of flows over which the imbalance is measured.
IMBALANCE_FLOWS = 1_000

#: Smallest ratio of the balancer's forwarding rate to that of the bare loop.
FORWARD_MIN = 0.5

#: Largest share of moved buckets, as a multiple of one target's equal share.
MOVED_MAX = 1.2

#: Largest ratio of the flows of the busiest target to the mean.
IMBALANCE_MAX = 1.25

#: Largest growth of the balancer's memory between the two numbers of flows, in
#: bytes for each flow.
MEMORY_PER_FLOW_MAX = 1.0

_LOOPBACK = '127.0.0.1'
_KEYS = Keys(bytes(32))
_SERVICE_ADDRESS = Address(_LOOPBACK, 443)
_SERVICE = Service('measured', 1, (_SERVICE_ADDRESS,))


def main() -> int:
    """Measure and print all figures.

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
    """Print one line at once, without buffering."""
    print(line, flush=True)


def list_failures(figures: dict[str, float]) -> list[str]:
    """Return the names of the figures that are out of bounds."""
    checks: dict[str, Callable[[float], bool]] = {
        'forward_over_bare_loop': lambda value: value >= FORWARD_MIN,
        'moved_over_one_share_max': lambda value: value <= MOVED_MAX,
        'imbalance_max_over_mean': lambda value: value <= IMBALANCE_MAX,
        'memory_per_flow_bytes': lambda value: value <= MEMORY_PER_FLOW_MAX,
    }
    return [name for name, check in checks.items() if not check(figures[name])]


def make_targets(count: int, agent: Address) -> tuple[Target, ...]:
    """Return targets that differ only in name.

    :param agent: address of the agent of all of them
    """
    return tuple(
        Target(f'target-{n}', 'measured', 'zone', agent, agent, 1, 4)
        for n in range(count)
    )


def make_router(agent: Address) -> BalancerRouter:
    """Return a router that has built the bucket table of the service."""
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
    """Return the ratio of the balancer's forwarding rate to the bare loop's.

    Each round sends datagrams to the socket, and then times how long one of
    the loops takes to forward them.

    :param size: size of the datagrams, in bytes
    """
    with (
        open_socket() as sender,
        open_socket() as receiver,
        open_socket() as sink,
    ):
        loops = (
            make_bare_loop(receiver, sink.getsockname()),
            make_forward_loop(receiver, sink.getsockname()),
        )
        payload = b'\x40' + bytes(size - 1)
        durations = [0.0, 0.0]
        for number in range(2 * ROUNDS):
            for _ in range(ROUND_DATAGRAMS):
                sender.sendto(payload, receiver.getsockname())
            started = time.perf_counter()
            for _ in range(ROUND_DATAGRAMS):
                loops[number % 2]()
            durations[number % 2] += time.perf_counter() - started
    for name, seconds in zip(('bare', 'forward'), durations, strict=True):
        average = seconds / ROUNDS / ROUND_DATAGRAMS
        report(f'{name} loop, {size} bytes: {average * 1e6:.2f} us a datagram')
    return durations[0] / durations[1]


def make_bare_loop(
    receiver: socket.socket, sink: tuple[str, int]
) -> Callable[[], None]:
    """Return a function that receives, hashes and sends one datagram."""
    targets = [sink] * TARGETS

    def forward_one() -> None:
        payload, caller = receiver.recvfrom(2048)
        key = f'{caller[0]}:{caller[1]}'.encode()
        target = targets[xxh3_64_intdigest(key) % TARGETS]
        receiver.sendto(payload, target)

    return forward_one


def make_forward_loop(
    receiver: socket.socket, sink: tuple[str, int]
) -> Callable[[], None]:
    """Return a function that forwards one datagram as a balancer does."""
    router = make_router(Address(*sink))

    def forward_one() -> None:
        payload, caller = receiver.recvfrom(2048)
        packed = socket.inet_aton(caller[0]) + caller[1].to_bytes(2, 'big')
        result = router.forward(packed, _SERVICE_ADDRESS, payload, _KEYS)
        if isinstance(result, SealedForward):
            agent = result.agent
            receiver.sendto(result.data, (agent.host, agent.port))

    return forward_one


def measure_lookup() -> float:
    """Return the mean time to find the owner of a caller's bucket, in ns."""
    table = make_router(_SERVICE_ADDRESS).find_table(_SERVICE)
    callers = [Address('10.0.0.1', 1024 + n % 60000) for n in range(LOOKUPS)]
    started = time.perf_counter()
    for caller in callers:
        table.find_owner(table.find_bucket(caller, _SERVICE_ADDRESS))
    return (time.perf_counter() - started) / LOOKUPS * 1e9


def measure_moved_share(count: int) -> float:
    """Return the share of buckets that move when one target is removed.

    Each target is removed in turn from the whole set.

    :param count: number of targets of the service
    :returns: the largest share, as a multiple of one target's equal share
    """
    targets = make_targets(count, _SERVICE_ADDRESS)
    before = build_table(_SERVICE, targets)
    moved = (
        sum(
            before.targets[one].name != after.targets[other].name
            for one, other in zip(before.owners, after.owners, strict=True)
        )
        for after in (
            build_table(
                _SERVICE, [*targets[:removed], *targets[removed + 1 :]]
            )
            for removed in range(count)
        )
    )
    return max(moved) / len(before.owners) * count


def measure_imbalance() -> float:
    """Return the ratio of the flows of the busiest target to the mean."""
    table = make_router(_SERVICE_ADDRESS).find_table(_SERVICE)
    loads = Counter(
        table.find_owner(
            table.find_bucket(Address('10.0.0.1', port), _SERVICE_ADDRESS)
        )
        for port in range(20_000, 20_000 + IMBALANCE_FLOWS)
    )
    return max(loads.values()) / IMBALANCE_FLOWS * TARGETS


def measure_memory() -> float:
    """Return the growth of the balancer's memory, in bytes for each flow."""
    router = make_router(_SERVICE_ADDRESS)
    tracemalloc.start()
    sizes = [measure_memory_after(router, count) for count in FLOWS]
    tracemalloc.stop()
    for count, size in zip(FLOWS, sizes, strict=True):
        report(f'after {count} flows: {size} bytes allocated')
    return (sizes[1] - sizes[0]) / (FLOWS[1] - FLOWS[0])


def measure_memory_after(router: BalancerRouter, count: int) -> int:
    """Forward a datagram of each flow, and return the allocated bytes."""
    for number in range(count):
        caller = Address(f'10.0.{number >> 14}.1', 1024 + number % 16384)
        router.forward(pack_address(caller), _SERVICE_ADDRESS, b'\x40', _KEYS)
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


if __name__ == '__main__':
    sys.exit(main())
