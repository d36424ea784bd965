"""Stand-in nodes: many subscriptions in one process, that only count."""

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
PAGE = os.sysconf('SC_PAGE_SIZE')


@attrs.frozen
class NodeSettings:
    """What one process of stand-in nodes does.

    :param names: name of each node
    :param control: control instances
    :param link_key: key of the links, in hex
    """

    names: tuple[str, ...]
    control: tuple[str, ...]
    link_key: str


def main() -> None:
    """Run the nodes of ``--settings FILE`` until SIGTERM."""
    document = json.loads(Path(sys.argv[2]).read_text())
    settings = NodeSettings(
        tuple(document['names']),
        tuple(document['control']),
        document['link_key'],
    )
    asyncio.run(run_nodes(settings))


async def run_nodes(settings: NodeSettings) -> None:
    """Subscribe each node, and print samples and what is applied."""
    counts: Counter[str] = Counter()
    count_frames(counts)
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


async def run_node(name: str, settings: NodeSettings) -> None:
    """Keep one node subscribed, and print what it applies."""
    subscriber = build_subscriber(
        name,
        tuple(parse_address(text).unwrap() for text in settings.control),
        LinkKeys(bytes.fromhex(settings.link_key)),
        lambda *_, **__: None,
        lambda published: print_line(
            node=name, revision=published.revision, at=time.monotonic()
        ),
    )
    place = parse_address('127.0.0.1:1').unwrap()
    target = Target(
        name=name,
        service='service-0',
        availability_zone='lautoka-a',
        agent=place,
        link=place,
        incarnation=subscriber.subscription.incarnation,
        slots=4,
    )
    subscriber.announce(target=target)
    await subscriber.run()


def count_frames(counts: Counter[str]) -> None:
    """Count the bytes of the frames that the links send and receive."""
    send = links.LinkClient._send_raw
    receive = links._receive_raw

    def send_counted(self: Any, frame: bytes) -> bool:
        counts['sent'] += len(frame)
        return send(self, frame)

    async def receive_counted(socket: Any) -> Any:
        raw = await receive(socket)
        counts['received'] += len(raw.bytes)
        return raw

    links.LinkClient._send_raw = send_counted  # type: ignore[method-assign]
    links._receive_raw = receive_counted


def print_sample(counts: Counter[str]) -> None:
    """Print bytes, processor time and memory of this process so far."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    print_line(
        at=time.monotonic(),
        sent=counts['sent'],
        received=counts['received'],
        cpu=time.process_time(),
        rss=pages * PAGE,
    )


def print_line(**fields: Any) -> None:
    """Print one JSON line."""
    print(json.dumps(fields), flush=True)


if __name__ == '__main__':
    main()
