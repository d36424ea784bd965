"""Stand-in for callers: sends orders, feeds and uploads over HTTP/3."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import hashlib
import json
from pathlib import Path
import random
import secrets
import sys
import time
from typing import TYPE_CHECKING

import attrs
import cyclopts

from .flows import Flow
from .flows import FlowLostError
from .flows import open_flow
from .flows import StreamResetError
from .processes import print_line
from .settings import parse_endpoint
from .settings import read_settings
from .tally import fetch_runs
from .tally import Outcome
from .tally import Summary
from .tally import Tally

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from .flows import Exchange

    _RequestFunction = Callable[
        ['Caller', 'Work', Flow, str], Awaitable[Outcome]
    ]

#: Size of the chunks in which an upload is sent, in bytes.
CHUNK_SIZE = 16384

#: Upper bound of the random time added to ``retry-after``, in seconds.
RETRY_JITTER_MAX = 1.0

#: HTTP status of a successful response.
OK = '200'

#: Size of the body of an order, in bytes.
ORDER_SIZE = 200


class WorkKind(enum.Enum):
    """What the requests of some work are."""

    #: Short requests with an idempotency key.
    ORDERS = 'orders'
    #: Responses that are streamed line by line.
    FEED = 'feed'
    #: Request bodies that are sent at a limited rate.
    UPLOAD = 'upload'


@attrs.frozen
class Work:
    """Requests of one kind to one service, sent on several flows.

    :param kind: kind of the requests
    :param service: name of the service
    :param address: service address
    :param authority: DNS name of the service's certificate
    :param flows: number of flows open at the same time
    :param requests: requests on each flow, one after another
    :param pause: time between two requests on a flow, in seconds
    :param timeout: deadline of each request with all its attempts, in
        seconds; sent in the header ``request-timeout``
    :param lines: lines of a feed
    :param interval: time between two lines, in seconds
    :param size: size of an upload, in bytes
    :param rate: speed of an upload, in bytes per second
    :param ramp: time over which the flows are opened, in seconds
    :param seconds: run time of an order at the target, in seconds; 0 lets the
        target choose it
    :param retry: whether an attempt that failed is repeated until the timeout
    """

    kind: WorkKind
    service: str
    address: str
    authority: str
    flows: int = 1
    requests: int = 1
    pause: float = 0.0
    timeout: float = 20.0
    lines: int = 20
    interval: float = 0.1
    size: int = 1 << 20
    rate: float = 1e6
    ramp: float = 0.0
    seconds: float = 0.0
    retry: bool = True


@attrs.frozen
class CallerSettings:
    """Settings of the caller stand-in.

    :param ca: file with the certificate authority
    :param work: requests to send
    :param targets: base URLs of the targets whose runs are counted
    :param seed: seed for the retry delays
    """

    ca: str
    work: list[Work]
    targets: list[str] = attrs.field(factory=list)
    seed: int = 1


@attrs.frozen
class Caller:
    """What all flows of a run share.

    :param ca: file with the certificate authority
    :param tally: counters of the run
    :param draws: source of randomness
    """

    ca: str
    tally: Tally
    draws: random.Random


async def run_work(caller: Caller, work: Work) -> None:
    """Send all requests of some work, each flow in a task of its own."""
    step = work.ramp / work.flows
    await asyncio.gather(
        *(
            _send_requests(caller, work, number * step)
            for number in range(work.flows)
        )
    )


async def _send_requests(caller: Caller, work: Work, delay: float) -> None:
    await asyncio.sleep(delay)
    connection = ReconnectingFlow(caller, work)
    try:
        for _ in range(work.requests):
            await make_request(connection, work)
            await asyncio.sleep(work.pause)
    finally:
        await connection.close()


@attrs.define
class ReconnectingFlow:
    """A flow that is replaced by a new one when it can't take requests.

    :param caller: what all flows share
    :param work: work whose address and authority the flow connects to
    :param flow: the flow that takes new requests, if there is one
    """

    caller: Caller
    work: Work
    flow: Flow | None = None
    _retired: list[Flow] = attrs.field(factory=list)
    _open_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def get_flow(self) -> Flow:
        """Return the flow for a new request; open one if necessary.

        :raises FlowLostError: when a new flow can't be opened
        """
        async with self._open_lock:
            if (
                self.flow is None
                or self.flow.lost
                or self.flow.goaway_received
            ):
                self._retire()
                self.flow = await open_flow(
                    parse_endpoint(self.work.address),
                    self.work.authority,
                    self.caller.ca,
                )
            return self.flow

    async def close(self) -> None:
        """Close all flows, and count the lost ones as broken.

        A flow that was lost after a GOAWAY frame isn't counted here: a
        request that was still in progress on it has counted it.
        """
        self._retire()
        for flow in self._retired:
            if flow.lost and not flow.goaway_received:
                self.caller.tally.record_broken_flow(flow, flow.lost)
            await flow.finish()
        self._retired.clear()

    def _retire(self) -> None:
        flow, self.flow = self.flow, None
        if flow is not None:
            self._retired.append(flow)


async def make_request(connection: ReconnectingFlow, work: Work) -> Outcome:
    """Send a request until an attempt succeeds or its timeout passes.

    Without ``work.retry``, there is one attempt. All attempts carry the same
    idempotency key. An attempt that may have run leaves the outcome unknown
    when a later one is refused as not run.
    """
    caller = connection.caller
    key = make_idempotency_key()
    caller.tally.requests += 1
    started = time.monotonic()
    outcome = Outcome.NOT_RUN
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(work.timeout):
            while outcome is not Outcome.DONE:
                previous, outcome = outcome, Outcome.UNKNOWN
                outcome = previous.combine(
                    await _attempt_request(connection, work, key)
                )
                if not work.retry:
                    break
                if outcome is not Outcome.DONE:
                    await asyncio.sleep(_draw_retry_delay(connection))
    duration = time.monotonic() - started
    caller.tally.metrics.record_duration(work.kind.value, duration)
    caller.tally.record_outcome(
        key if work.kind is WorkKind.ORDERS else '', work.service, outcome
    )
    return outcome


def _draw_retry_delay(connection: ReconnectingFlow) -> float:
    """Return the newest ``retry-after`` of the flow plus a random jitter."""
    retry_after = (
        connection.flow.retry_after if connection.flow is not None else 0.0
    )
    return retry_after + RETRY_JITTER_MAX * connection.caller.draws.random()


async def _attempt_request(
    connection: ReconnectingFlow, work: Work, key: str
) -> Outcome:
    try:
        flow = await connection.get_flow()
    except FlowLostError:
        return Outcome.UNKNOWN
    try:
        return await _REQUEST_FUNCTIONS[work.kind](
            connection.caller, work, flow, key
        )
    except FlowLostError as error:
        connection.caller.tally.record_broken_flow(flow, str(error))
        return Outcome.UNKNOWN


def make_idempotency_key() -> str:
    """Return a new idempotency key; it starts with its time of issue."""
    return f'{int(time.time())}-{secrets.token_hex(8)}'


async def send_order(
    caller: Caller, work: Work, flow: Flow, key: str
) -> Outcome:
    """Send one order and check the response."""
    body = random.Random(key).randbytes(ORDER_SIZE)
    path = f'/orders?seconds={work.seconds}' if work.seconds else '/orders'
    with _send_headers(work, flow, 'POST', path, key) as exchange:
        flow.send_body(exchange, body, True)
        return await _check_response(caller, work, flow, exchange, key, body)


async def read_feed(
    caller: Caller, work: Work, flow: Flow, key: str
) -> Outcome:
    """Read a feed and check that no line is missing or out of order."""
    path = f'/feed?lines={work.lines}&interval={work.interval}'
    try:
        with _send_headers(work, flow, 'GET', path, key) as exchange:
            flow.send_body(exchange, b'', True)
            headers = await flow.read_headers(exchange)
            if headers[':status'] != OK:
                return await _record_refusal(caller, flow, exchange, headers)
            body = await _read_full_body(flow, exchange)
    except StreamResetError as error:
        caller.tally.record_broken_flow(flow, str(error))
        return Outcome.UNKNOWN
    lines = [line.split() for line in body.decode().splitlines()]
    for _, _, service in lines:
        caller.tally.check_service(work.service, service)
    if [int(number) for number, _, _ in lines] != list(range(work.lines)):
        caller.tally.record_broken_flow(flow, 'feed with a line missing')
        return Outcome.UNKNOWN
    return Outcome.DONE


async def send_upload(
    caller: Caller, work: Work, flow: Flow, key: str
) -> Outcome:
    """Send a body at the work's rate and check the digest in the response."""
    body = random.Random(key).randbytes(work.size)
    loop = asyncio.get_running_loop()
    started = loop.time()
    with _send_headers(work, flow, 'PUT', f'/sheets/{key}', key) as exchange:
        for offset in range(0, work.size, CHUNK_SIZE):
            chunk = body[offset : offset + CHUNK_SIZE]
            flow.send_body(exchange, chunk, offset + CHUNK_SIZE >= work.size)
            due = started + (offset + CHUNK_SIZE) / work.rate
            await asyncio.sleep(due - loop.time())
        return await _check_response(caller, work, flow, exchange, key, body)


@contextlib.contextmanager
def _send_headers(
    work: Work, flow: Flow, method: str, path: str, key: str
) -> Iterator[Exchange]:
    headers = {'request-timeout': f'{work.timeout:.3f}'}
    if method == 'POST':
        headers['idempotency-key'] = key
    exchange = flow.send_request(method, work.authority, path, headers, False)
    try:
        yield exchange
    except asyncio.CancelledError:
        flow.cancel(exchange)
        raise


async def _check_response(
    caller: Caller,
    work: Work,
    flow: Flow,
    exchange: Exchange,
    key: str,
    body: bytes,
) -> Outcome:
    try:
        headers = await flow.read_headers(exchange)
        if headers[':status'] != OK:
            return await _record_refusal(caller, flow, exchange, headers)
        receipt = json.loads(await _read_full_body(flow, exchange))
    except StreamResetError as error:
        caller.tally.record_broken_flow(flow, str(error))
        return Outcome.UNKNOWN
    caller.tally.check_service(work.service, receipt['service'])
    key_matches = receipt['key'] in (key, '')
    if (
        not key_matches
        or receipt['digest'] != hashlib.sha256(body).hexdigest()
    ):
        caller.tally.crossed += 1
        return Outcome.UNKNOWN
    return Outcome.DONE


async def _record_refusal(
    caller: Caller, flow: Flow, exchange: Exchange, headers: dict[str, str]
) -> Outcome:
    retry_after = headers.get('retry-after', '')
    flow.retry_after = float(retry_after) if retry_after.isdecimal() else 0.0
    try:
        problem = json.loads(await _read_full_body(flow, exchange))
        kind = str(problem['type']).rpartition(':')[2]
    except (ValueError, KeyError, TypeError):
        kind = 'no problem document'
    caller.tally.refusals[kind] += 1
    not_run = kind == Outcome.NOT_RUN.value
    return Outcome.NOT_RUN if not_run else Outcome.UNKNOWN


async def _read_full_body(flow: Flow, exchange: Exchange) -> bytes:
    return b''.join([part async for part in flow.read_body(exchange)])


_REQUEST_FUNCTIONS: dict[WorkKind, _RequestFunction] = {
    WorkKind.ORDERS: send_order,
    WorkKind.FEED: read_feed,
    WorkKind.UPLOAD: send_upload,
}


async def run(settings: CallerSettings) -> Summary:
    """Send all work, then compare the counters with the targets' runs."""
    tally = Tally()
    caller = Caller(settings.ca, tally, random.Random(settings.seed))
    await asyncio.gather(*(run_work(caller, work) for work in settings.work))
    return tally.summarize(await fetch_runs(settings.targets))


def main(*, settings: Path) -> None:
    """Run the caller stand-in and print the summary as a line of JSON.

    :param settings: TOML file
    """
    summary = asyncio.run(run(read_settings(settings, CallerSettings)))
    print_line(attrs.asdict(summary))
    sys.exit(0 if summary.is_clean() else 1)


if __name__ == '__main__':
    cyclopts.run(main)
