"""Simulate many nodes in one process, which only subscribe to control.

The process prints one line of JSON for each revision that a node applies, and
samples of its traffic, processor time and memory.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import json
import os
from pathlib import Path
import signal
import sys
import time
from typing import Any

import attrs
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.published import Target
from pistachiohook_daemon.keys import LinkKeys
import pistachiohook_daemon.links as links
from pistachiohook_daemon.subscriber import build_subscriber

#: Time between two samples, in seconds.
SAMPLE_INTERVAL = 0.5

#: Size of a page of memory, in bytes.
PAGE_SIZE = os.sysconf('SC_PAGE_SIZE')


@attrs.frozen
class ProcessSettings:
    """Settings of one process of simulated nodes.

    :param names: name of each node
    :param control: addresses at which the control instances accept links
    :param link_key: key of the links, in hexadecimal
    """

    names: tuple[str, ...]
    control: tuple[str, ...]
    link_key: str


def main() -> None:
    """Run the nodes of the JSON file in ``--settings FILE`` until SIGTERM."""
    document = json.loads(Path(sys.argv[2]).read_text())
    settings = ProcessSettings(
        tuple(document['names']),
        tuple(document['control']),
        document['link_key'],
    )
    asyncio.run(run_nodes(settings))


async def run_nodes(settings: ProcessSettings) -> None:
    """Run all nodes, and print a sample at each interval until SIGTERM."""
    counts: Counter[str] = Counter()
    instrument_links(counts)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    tasks = [
        loop.create_task(run_node(name, settings)) for name in settings.names
    ]
    while not stopping.is_set():
        print_sample(counts)
        await asyncio.sleep(SAMPLE_INTERVAL)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_node(name: str, settings: ProcessSettings) -> None:
    """Keep one node subscribed, and print each revision that it applies.

    The node announces a target, as an agent does.
    """
    subscriber = build_subscriber(
        name,
        tuple(parse_address(text).unwrap() for text in settings.control),
        LinkKeys(bytes.fromhex(settings.link_key)),
        lambda *_, **__: None,
        lambda published: print_line(
            node=name, revision=published.revision, at=time.monotonic()
        ),
    )
    address = parse_address('127.0.0.1:1').unwrap()
    target = Target(
        name=name,
        service='service-0',
        availability_zone='lautoka-a',
        agent=address,
        link=address,
        incarnation=subscriber.subscription.incarnation,
        slots=4,
    )
    subscriber.announce(target=target)
    await subscriber.run()


def instrument_links(counts: Counter[str]) -> None:
    """Replace the links' functions by ones that count the bytes of frames.

    :param counts: receives the sums under ``sent`` and ``received``
    """
    send_raw = links.LinkClient._send_raw
    receive_raw = links._receive_raw

    def send_and_count(self: Any, frame: bytes) -> bool:
        counts['sent'] += len(frame)
        return send_raw(self, frame)

    async def receive_and_count(socket: Any) -> Any:
        raw = await receive_raw(socket)
        counts['received'] += len(raw.bytes)
        return raw

    links.LinkClient._send_raw = send_and_count  # type: ignore[method-assign]
    links._receive_raw = receive_and_count


def print_sample(counts: Counter[str]) -> None:
    """Print traffic, processor time and resident memory of this process."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    print_line(
        at=time.monotonic(),
        sent=counts['sent'],
        received=counts['received'],
        cpu=time.process_time(),
        rss=pages * PAGE_SIZE,
    )


def print_line(**fields: Any) -> None:
    """Print one JSON line."""
    print(json.dumps(fields), flush=True)


if __name__ == '__main__':
    main()
