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
UPLOAD_SIZE_MAX = 4 << 30

#: First batch temperature of a feed, in degrees Celsius.
INITIAL_TEMPERATURE = 82.0

#: Type of the problem when a request was refused before it ran.
NOT_RUN = 'urn:pistachiohook:not-run'

#: Type of the problem when a request was started and not completed.
UNKNOWN_OUTCOME = 'urn:pistachiohook:unknown-outcome'


@attrs.frozen
class RunTime:
    """How long the requests of one route run.

    :param usual: run time of a request that is no straggler, in seconds
    :param straggler: run time of a straggler, in seconds
    :param straggler_share: share of the requests that are stragglers
    """

    usual: float = 0.01
    straggler: float = 0.01
    straggler_share: float = 0.0


@attrs.frozen
class TargetSettings:
    """Settings of the target stand-in.

    :param name: name of the target
    :param service: name of the service
    :param address: address of the HTTP/1.1 server
    :param slots: requests that run at once; further ones are shed
    :param seed: seed for the run times and the temperatures of feeds
    :param orders: run time of ``POST /orders``
    :param start_delay: time after the start during which ``/health`` answers
        503, in seconds
    :param load_lag: age of the load that ``/load`` reports, in seconds
    :param load_stuck: whether ``/load`` always reports no running request
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

    :param settings: settings that it was started with
    :param draws: source of randomness
    :param started: loop time of the start, in seconds
    :param running: number of requests that hold a slot
    :param most_running: highest value that ``running`` has had
    :param draining: whether new requests are shed
    :param runs: number of runs started, by idempotency key
    :param counts: number of shed, cancelled and late requests, and of
        exceptions in handlers
    """

    settings: TargetSettings
    draws: random.Random
    started: float
    running: int = 0
    most_running: int = 0
    draining: bool = False
    runs: Counter[str] = attrs.field(factory=Counter)
    counts: Counter[str] = attrs.field(factory=Counter)
    _load_history: list[tuple[float, int]] = attrs.field(factory=list)

    def acquire_slot(self) -> bool:
        """Acquire a slot.

        :returns: whether there was one; if not, the request is to be shed
        """
        if self.draining or self.running >= self.settings.slots:
            self.counts['shed'] += 1
            return False
        self._record_load(self.running + 1)
        self.most_running = max(self.most_running, self.running)
        return True

    def release_slot(self) -> None:
        """Release the slot of one request."""
        self._record_load(self.running - 1)

    def draw_run_time(self) -> float:
        """Return how long the next order runs, in seconds."""
        times = self.settings.orders
        slow = self.draws.random() < times.straggler_share
        return times.straggler if slow else times.usual

    def get_reported_load(self) -> int:
        """Return the number of running requests that ``/load`` reports."""
        if self.settings.load_stuck:
            return 0
        as_of = asyncio.get_running_loop().time() - self.settings.load_lag
        loads = [running for at, running in self._load_history if at <= as_of]
        return loads[-1] if loads else 0

    def _record_load(self, running: int) -> None:
        now = asyncio.get_running_loop().time()
        cutoff = now - self.settings.load_lag
        newer = [load for load in self._load_history if load[0] > cutoff]
        older = [load for load in self._load_history if load[0] <= cutoff]
        self.running = running
        self._load_history = [*older[-1:], *newer, (now, running)]


class _TargetHandler(RequestHandler):
    """Base of the handlers of all routes.

    Tornado creates a handler for each request, so the state that requests
    share is in the target.
    """

    def initialize(self, target: Target) -> None:
        self.target = target

    def send_problem(self, status: int, kind: str, detail: str) -> None:
        """Answer with a problem document.

        :param status: HTTP status
        :param kind: type of the problem
        :param detail: explanation for a person
        """
        self.set_status(status)
        self.set_header('content-type', 'application/problem+json')
        self.set_header('retry-after', '1')
        self.finish(json.dumps({'type': kind, 'detail': detail}))

    def log_exception(self, *_: Any) -> None:
        """Count the exception and don't log it.

        Callers that close their connections cause exceptions in normal runs.
        """
        self.target.counts['exceptions'] += 1


class _HealthHandler(_TargetHandler):
    async def get(self) -> None:
        age = asyncio.get_running_loop().time() - self.target.started
        if self.target.draining or age < self.target.settings.start_delay:
            self.set_status(503)


class _LoadHandler(_TargetHandler):
    async def get(self) -> None:
        state = 'draining' if self.target.draining else 'serving'
        self.write(
            {
                'slots': self.target.settings.slots,
                'running': self.target.get_reported_load(),
                'state': state,
            }
        )


class _DrainHandler(_TargetHandler):
    async def post(self) -> None:
        self.target.draining = True


class _RunsHandler(_TargetHandler):
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


class _WorkHandler(_TargetHandler):
    """Base of the handlers whose requests hold a slot until they end."""

    holds_slot = False
    task: asyncio.Task[None] | None = None

    def prepare(self) -> None:
        self.holds_slot = self.target.acquire_slot()
        if not self.holds_slot:
            self.send_problem(503, NOT_RUN, 'no free slot')
            return
        self.target.runs[self.get_idempotency_key()] += 1

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
            self.target.release_slot()

    def get_idempotency_key(self) -> str:
        """Return the idempotency key of the request, empty if it has none."""
        key = self.request.headers.get('idempotency-key', '')
        assert isinstance(key, str)
        return key

    async def run_within_deadline(self, work: Awaitable[None]) -> None:
        """Run until the caller's deadline or the close of the connection."""
        self.task = asyncio.ensure_future(work)
        header = self.request.headers.get('request-timeout')
        try:
            async with asyncio.timeout(float(header) if header else None):
                await self.task
        except TimeoutError:
            self.target.counts['late'] += 1
            if not self._headers_written:
                self.send_problem(504, UNKNOWN_OUTCOME, 'deadline passed')
        except asyncio.CancelledError:
            pass
        except StreamClosedError:
            pass

    def make_receipt(self) -> dict[str, Any]:
        """Return the fields that name the target and the request."""
        settings = self.target.settings
        return {
            'service': settings.service,
            'target': settings.name,
            'key': self.get_idempotency_key(),
        }


class _OrdersHandler(_WorkHandler):
    async def post(self) -> None:
        await self.run_within_deadline(self._run())

    async def _run(self) -> None:
        run_time = self.get_query_argument('seconds', '')
        await asyncio.sleep(
            float(run_time) if run_time else self.target.draw_run_time()
        )
        digest = hashlib.sha256(self.request.body).hexdigest()
        await self.finish({**self.make_receipt(), 'digest': digest})


class _FeedHandler(_WorkHandler):
    async def get(self) -> None:
        lines = int(self.get_query_argument('lines', '10'))
        interval = float(self.get_query_argument('interval', '0.1'))
        await self.run_within_deadline(self._run(lines, interval))

    async def _run(self, lines: int, interval: float) -> None:
        temperature = INITIAL_TEMPERATURE
        for number in range(lines):
            temperature += self.target.draws.uniform(-0.5, 0.5)
            self.write(
                f'{number} {temperature:.2f} {self.target.settings.service}\n'
            )
            await self.flush()
            await asyncio.sleep(interval)
        await self.finish()


@stream_request_body
class _SheetHandler(_WorkHandler):
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
                **self.make_receipt(),
                'name': name,
                'size': self.size,
                'digest': self.digest.hexdigest(),
            }
        )


@attrs.define
class Server:
    """A target and its HTTP server.

    :param target: state of the target
    :param address: address that the server listens on
    """

    target: Target
    address: Endpoint
    _http_server: HTTPServer

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._http_server.stop()
        await self._http_server.close_all_connections()


def start_target(settings: TargetSettings) -> Server:
    """Start a target's HTTP server in the running event loop."""
    now = asyncio.get_running_loop().time()
    target = Target(settings, random.Random(settings.seed), now)
    routes = [
        ('/health', _HealthHandler),
        ('/load', _LoadHandler),
        ('/drain', _DrainHandler),
        ('/runs', _RunsHandler),
        ('/orders', _OrdersHandler),
        ('/feed', _FeedHandler),
        ('/sheets/([^/]+)', _SheetHandler),
    ]
    application = Application(
        [(path, handler, {'target': target}) for path, handler in routes],
        log_function=lambda _: None,
    )
    host, port = parse_endpoint(settings.address)
    sockets = bind_sockets(port, host)
    http_server = HTTPServer(
        application,
        max_body_size=UPLOAD_SIZE_MAX,
        max_buffer_size=UPLOAD_SIZE_MAX,
    )
    http_server.add_sockets(sockets)
    return Server(target, sockets[0].getsockname(), http_server)


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
