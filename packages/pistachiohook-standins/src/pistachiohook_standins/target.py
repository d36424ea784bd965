"""Target stand-in: an HTTP/1.1 server with slots, drain and stragglers."""

from __future__ import annotations

import asyncio
from collections import Counter
import contextlib
import hashlib
import json
from pathlib import Path
import random
from typing import Any
from typing import TYPE_CHECKING

import attrs
import cyclopts
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from .processes import print_line
from .processes import wait_for_signal
from .settings import parse_endpoint
from .settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from .settings import Endpoint

#: Largest upload, in bytes.
UPLOAD_MAX = 4 << 30

#: Batch temperature that the feed starts from, in degrees Celsius.
BATCH_TEMPERATURE = 82.0

#: Type of a refusal of work that was not begun.
NOT_RUN = 'urn:pistachiohook:not-run'

#: Type of an answer about work that was begun and not ended.
UNKNOWN_OUTCOME = 'urn:pistachiohook:unknown-outcome'


@attrs.frozen
class RunTime:
    """How long requests of one route run.

    :param usual: run time of most requests, in seconds
    :param straggler: run time of the others, in seconds
    :param straggler_share: share of the others
    """

    usual: float = 0.01
    straggler: float = 0.01
    straggler_share: float = 0.0


@attrs.frozen
class TargetSettings:
    """Settings of the target stand-in.

    :param name: name of the target
    :param service: name of the service
    :param address: where HTTP/1.1 is served
    :param slots: requests that run at once; others are shed
    :param seed: of the run times
    :param orders: run time of ``POST /orders``
    :param start_delay: time after the start without health, in seconds
    :param load_lag: age of what ``/load`` tells, in seconds
    :param load_stuck: whether ``/load`` tells the first state for ever
    """

    name: str
    service: str
    address: str
    slots: int = 4
    seed: int = 1
    orders: RunTime = RunTime()
    start_delay: float = 0.0
    load_lag: float = 0.0
    load_stuck: bool = False


@attrs.define
class Target:
    """State of a running target.

    :param settings: what it was started with
    :param draws: source of randomness
    :param started: loop time of the start, in seconds
    :param running: requests that hold a slot
    :param most_running: most requests that held a slot at once
    :param draining: whether new work is shed
    :param runs: runs begun, by idempotency key
    :param counts: what else happened
    """

    settings: TargetSettings
    draws: random.Random
    started: float
    running: int = 0
    most_running: int = 0
    draining: bool = False
    runs: Counter[str] = attrs.field(factory=Counter)
    counts: Counter[str] = attrs.field(factory=Counter)
    _loads: list[tuple[float, int]] = attrs.field(factory=list)

    def take_slot(self) -> bool:
        """Take a slot, or tell that the request is shed."""
        if self.draining or self.running >= self.settings.slots:
            self.counts['shed'] += 1
            return False
        self._note_load(self.running + 1)
        self.most_running = max(self.most_running, self.running)
        return True

    def give_slot_back(self) -> None:
        """End one request."""
        self._note_load(self.running - 1)

    def draw_run_time(self) -> float:
        """Return how long the next order runs, in seconds."""
        times = self.settings.orders
        slow = self.draws.random() < times.straggler_share
        return times.straggler if slow else times.usual

    def report_running(self) -> int:
        """Return the running requests as ``/load`` tells them."""
        if self.settings.load_stuck:
            return 0
        seen = asyncio.get_running_loop().time() - self.settings.load_lag
        known = [running for at, running in self._loads if at <= seen]
        return known[-1] if known else 0

    def _note_load(self, running: int) -> None:
        now = asyncio.get_running_loop().time()
        oldest = now - self.settings.load_lag
        newer = [load for load in self._loads if load[0] > oldest]
        older = [load for load in self._loads if load[0] <= oldest]
        self.running = running
        self._loads = [*older[-1:], *newer, (now, running)]


class _Handler(RequestHandler):
    """What all routes share.

    Tornado makes one handler a request, so the state is the target's.
    """

    def initialize(self, target: Target) -> None:
        self.target = target

    def refuse(self, status: int, kind: str, detail: str) -> None:
        """Answer with a problem."""
        self.set_status(status)
        self.set_header('content-type', 'application/problem+json')
        self.set_header('retry-after', '1')
        self.finish(json.dumps({'type': kind, 'detail': detail}))

    def log_exception(self, *_: Any) -> None:
        """Count in place of a log; a closed connection is expected."""
        self.target.counts['exceptions'] += 1


class _Health(_Handler):
    async def get(self) -> None:
        age = asyncio.get_running_loop().time() - self.target.started
        if self.target.draining or age < self.target.settings.start_delay:
            self.set_status(503)


class _Load(_Handler):
    async def get(self) -> None:
        state = 'draining' if self.target.draining else 'serving'
        self.write(
            {
                'slots': self.target.settings.slots,
                'running': self.target.report_running(),
                'state': state,
            }
        )


class _Drain(_Handler):
    async def post(self) -> None:
        self.target.draining = True


class _Runs(_Handler):
    async def get(self) -> None:
        self.write(
            {
                'service': self.target.settings.service,
                'target': self.target.settings.name,
                'runs': dict(self.target.runs),
                'counts': dict(self.target.counts),
                'running': self.target.running,
                'most_running': self.target.most_running,
            }
        )


class _Work(_Handler):
    """A request that holds a slot until it ends or is cancelled."""

    holds_slot = False
    task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        self.holds_slot = self.target.take_slot()
        if not self.holds_slot:
            self.refuse(503, NOT_RUN, 'no free slot')
            return
        self.target.runs[self.read_key()] += 1

    def on_finish(self) -> None:
        self.release()

    def on_connection_close(self) -> None:
        self.target.counts['cancelled'] += 1
        if self.task is not None:
            self.task.cancel()
        self.release()

    def release(self) -> None:
        if self.holds_slot:
            self.holds_slot = False
            self.target.give_slot_back()

    def read_key(self) -> str:
        """Return the idempotency key, or an empty one."""
        key = self.request.headers.get('idempotency-key', '')
        assert isinstance(key, str)
        return key

    async def run_within_deadline(self, work: Awaitable[None]) -> None:
        """Run until the caller's deadline or the end of the connection."""
        self.task = asyncio.ensure_future(work)
        header = self.request.headers.get('request-timeout')
        try:
            async with asyncio.timeout(float(header) if header else None):
                await self.task
        except TimeoutError:
            self.target.counts['late'] += 1
            if not self._headers_written:
                self.refuse(504, UNKNOWN_OUTCOME, 'deadline passed')
        except asyncio.CancelledError:
            pass
        except StreamClosedError:
            pass

    def describe(self) -> dict[str, Any]:
        """Return who answers."""
        settings = self.target.settings
        return {
            'service': settings.service,
            'target': settings.name,
            'key': self.read_key(),
        }


class _Orders(_Work):
    async def post(self) -> None:
        await self.run_within_deadline(self._run())

    async def _run(self) -> None:
        asked = self.get_query_argument('seconds', '')
        await asyncio.sleep(
            float(asked) if asked else self.target.draw_run_time()
        )
        digest = hashlib.sha256(self.request.body).hexdigest()
        await self.finish({**self.describe(), 'digest': digest})


class _Feed(_Work):
    async def get(self) -> None:
        lines = int(self.get_query_argument('lines', '10'))
        interval = float(self.get_query_argument('interval', '0.1'))
        await self.run_within_deadline(self._run(lines, interval))

    async def _run(self, lines: int, interval: float) -> None:
        temperature = BATCH_TEMPERATURE
        for number in range(lines):
            temperature += self.target.draws.uniform(-0.5, 0.5)
            self.write(
                f'{number} {temperature:.2f} {self.target.settings.service}\n'
            )
            await self.flush()
            await asyncio.sleep(interval)
        await self.finish()


@stream_request_body
class _Sheet(_Work):
    def prepare(self) -> None:
        self.digest = hashlib.sha256()
        self.size = 0
        super().prepare()

    def data_received(self, chunk: bytes) -> None:
        self.digest.update(chunk)
        self.size += len(chunk)

    async def put(self, name: str) -> None:
        await self.finish(
            {
                **self.describe(),
                'name': name,
                'size': self.size,
                'digest': self.digest.hexdigest(),
            }
        )


@attrs.define
class Server:
    """A target that listens.

    :param target: its state
    :param address: where it is bound
    """

    target: Target
    address: Endpoint
    _http: HTTPServer

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._http.stop()
        await self._http.close_all_connections()


def start_target(settings: TargetSettings) -> Server:
    """Bind and serve in the running loop."""
    now = asyncio.get_running_loop().time()
    target = Target(settings, random.Random(settings.seed), now)
    routes = [
        ('/health', _Health),
        ('/load', _Load),
        ('/drain', _Drain),
        ('/runs', _Runs),
        ('/orders', _Orders),
        ('/feed', _Feed),
        ('/sheets/([^/]+)', _Sheet),
    ]
    application = Application(
        [(path, handler, {'target': target}) for path, handler in routes],
        log_function=lambda _: None,
    )
    host, port = parse_endpoint(settings.address)
    sockets = bind_sockets(port, host)
    http = HTTPServer(
        application, max_body_size=UPLOAD_MAX, max_buffer_size=UPLOAD_MAX
    )
    http.add_sockets(sockets)
    return Server(target, sockets[0].getsockname(), http)


async def run(settings: TargetSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = start_target(settings)
    print_line({'target': settings.name, 'address': server.address})
    await wait_for_signal()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(server.stop(), 1.0)


def main(*, settings: Path) -> None:
    """Run the target stand-in.

    :param settings: TOML file
    """
    asyncio.run(run(read_settings(settings, TargetSettings)))


if __name__ == '__main__':
    cyclopts.run(main)
