"""Caller stand-in: orders, feeds and uploads over HTTP/3."""

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

    _Act = Callable[['Caller', 'Work', Flow, str], Awaitable[Outcome]]

#: Size of one part of an upload, in bytes.
CHUNK = 16384

#: Longest pause beyond what a refusal asks for, in seconds.
RETRY_PAUSE_MAX = 1.0

#: Status of a whole answer.
OK = '200'

#: Length of an order, in bytes.
ORDER_LENGTH = 200


class Kind(enum.Enum):
    """Kinds of work."""

    ORDERS = 'orders'
    FEED = 'feed'
    UPLOAD = 'upload'


@attrs.frozen
class Work:
    """A share of the work of a caller.

    :param kind: what each request is
    :param service: name of the service asked
    :param address: service address
    :param authority: DNS name of the service's certificate
    :param flows: flows at once
    :param requests: requests on each flow, one after another
    :param pause: time between two requests of a flow, in seconds
    :param timeout: what ``request-timeout`` says, in seconds
    :param lines: lines of a feed
    :param interval: time between two lines, in seconds
    :param size: length of an upload, in bytes
    :param rate: speed of an upload, in bytes a second
    :param ramp: time over which the flows begin, in seconds
    :param seconds: run time asked of the target; 0 leaves it to the target
    :param retry: whether what was refused is sent again
    """

    kind: Kind
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

    :param ca: file of the certificate authority
    :param work: what to send
    :param targets: base URLs of the targets whose runs are counted
    :param seed: of the uploads
    """

    ca: str
    work: list[Work]
    targets: list[str] = attrs.field(factory=list)
    seed: int = 1


@attrs.frozen
class Caller:
    """What all flows of a caller share.

    :param ca: file of the certificate authority
    :param tally: counts
    :param draws: source of randomness
    """

    ca: str
    tally: Tally
    draws: random.Random


async def work_off(caller: Caller, work: Work) -> None:
    """Do one share of the work on its flows."""
    step = work.ramp / work.flows
    await asyncio.gather(
        *(
            _use_flow(caller, work, number * step)
            for number in range(work.flows)
        )
    )


async def _use_flow(caller: Caller, work: Work, delay: float) -> None:
    await asyncio.sleep(delay)
    holder = FlowHolder(caller, work)
    try:
        for _ in range(work.requests):
            await make_request(holder, work)
            await asyncio.sleep(work.pause)
    finally:
        await holder.release()


@attrs.define
class FlowHolder:
    """The flow of one caller, opened anew after a loss.

    :param caller: what all flows share
    :param work: what the flow is for
    """

    caller: Caller
    work: Work
    flow: Flow | None = None
    _former: list[Flow] = attrs.field(factory=list)
    _opening: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def acquire(self) -> Flow:
        """Return the flow for a new request.

        :raises FlowLostError: when none can be opened
        """
        async with self._opening:
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

    async def release(self) -> None:
        """Close the flows; count those that another had ended.

        A flow that took no new request when it was ended is not broken; its
        open requests have counted it if there were any.
        """
        self._retire()
        for flow in self._former:
            if flow.lost and not flow.goaway_received:
                self.caller.tally.record_broken_flow(flow, flow.lost)
            await flow.finish()
        self._former.clear()

    def _retire(self) -> None:
        flow, self.flow = self.flow, None
        if flow is not None:
            self._former.append(flow)


async def make_request(holder: FlowHolder, work: Work) -> Outcome:
    """Make one request, and again while it is refused as not run.

    A request goes with the same idempotency key each time. One that may have
    run stays unknown when a later attempt is refused.
    """
    caller = holder.caller
    key = make_key()
    caller.tally.requests += 1
    started = time.monotonic()
    outcome = Outcome.NOT_RUN
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(work.timeout):
            while outcome is not Outcome.DONE:
                former, outcome = outcome, Outcome.UNKNOWN
                outcome = former.combine(await _try_request(holder, work, key))
                if not work.retry:
                    break
                if outcome is not Outcome.DONE:
                    await asyncio.sleep(_choose_pause(holder))
    duration = time.monotonic() - started
    caller.tally.metrics.record_duration(work.kind.value, duration)
    caller.tally.record_outcome(
        key if work.kind is Kind.ORDERS else '', work.service, outcome
    )
    return outcome


def _choose_pause(holder: FlowHolder) -> float:
    """Return what the refusal asked for, and a random time more."""
    told = holder.flow.retry_after if holder.flow is not None else 0.0
    return told + RETRY_PAUSE_MAX * holder.caller.draws.random()


async def _try_request(holder: FlowHolder, work: Work, key: str) -> Outcome:
    try:
        flow = await holder.acquire()
    except FlowLostError:
        return Outcome.UNKNOWN
    try:
        return await _ACTS[work.kind](holder.caller, work, flow, key)
    except FlowLostError as error:
        holder.caller.tally.record_broken_flow(flow, str(error))
        return Outcome.UNKNOWN


def make_key() -> str:
    """Return a new idempotency key, with its issue time."""
    return f'{int(time.time())}-{secrets.token_hex(8)}'


async def send_order(
    caller: Caller, work: Work, flow: Flow, key: str
) -> Outcome:
    """Send one order and check its answer."""
    body = random.Random(key).randbytes(ORDER_LENGTH)
    path = f'/orders?seconds={work.seconds}' if work.seconds else '/orders'
    with _begin(work, flow, 'POST', path, key) as exchange:
        flow.send_body(exchange, body, True)
        return await _check_receipt(caller, work, flow, exchange, key, body)


async def read_feed(
    caller: Caller, work: Work, flow: Flow, key: str
) -> Outcome:
    """Read a feed and check that no line is missing or out of order."""
    path = f'/feed?lines={work.lines}&interval={work.interval}'
    try:
        with _begin(work, flow, 'GET', path, key) as exchange:
            flow.send_body(exchange, b'', True)
            headers = await flow.read_headers(exchange)
            if headers[':status'] != OK:
                return await _read_refusal(caller, flow, exchange, headers)
            body = await _read_whole(flow, exchange)
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
    """Send a body at the rate of the work and check its digest."""
    body = random.Random(key).randbytes(work.size)
    loop = asyncio.get_running_loop()
    started = loop.time()
    with _begin(work, flow, 'PUT', f'/sheets/{key}', key) as exchange:
        for offset in range(0, work.size, CHUNK):
            chunk = body[offset : offset + CHUNK]
            flow.send_body(exchange, chunk, offset + CHUNK >= work.size)
            due = started + (offset + CHUNK) / work.rate
            await asyncio.sleep(due - loop.time())
        return await _check_receipt(caller, work, flow, exchange, key, body)


@contextlib.contextmanager
def _begin(
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


async def _check_receipt(
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
            return await _read_refusal(caller, flow, exchange, headers)
        receipt = json.loads(await _read_whole(flow, exchange))
    except StreamResetError as error:
        caller.tally.record_broken_flow(flow, str(error))
        return Outcome.UNKNOWN
    caller.tally.check_service(work.service, receipt['service'])
    known = receipt['key'] in (key, '')
    if not known or receipt['digest'] != hashlib.sha256(body).hexdigest():
        caller.tally.crossed += 1
        return Outcome.UNKNOWN
    return Outcome.DONE


async def _read_refusal(
    caller: Caller, flow: Flow, exchange: Exchange, headers: dict[str, str]
) -> Outcome:
    told = headers.get('retry-after', '')
    flow.retry_after = float(told) if told.isdecimal() else 0.0
    try:
        problem = json.loads(await _read_whole(flow, exchange))
        kind = str(problem['type']).rpartition(':')[2]
    except (ValueError, KeyError, TypeError):
        kind = 'no problem document'
    caller.tally.refusals[kind] += 1
    not_run = kind == Outcome.NOT_RUN.value
    return Outcome.NOT_RUN if not_run else Outcome.UNKNOWN


async def _read_whole(flow: Flow, exchange: Exchange) -> bytes:
    return b''.join([part async for part in flow.read_body(exchange)])


_ACTS: dict[Kind, _Act] = {
    Kind.ORDERS: send_order,
    Kind.FEED: read_feed,
    Kind.UPLOAD: send_upload,
}


async def run(settings: CallerSettings) -> Summary:
    """Do all work, then count with the targets."""
    tally = Tally()
    caller = Caller(settings.ca, tally, random.Random(settings.seed))
    await asyncio.gather(*(work_off(caller, work) for work in settings.work))
    return tally.summarize(await fetch_runs(settings.targets))


def main(*, settings: Path) -> None:
    """Run the caller stand-in and print its counts.

    :param settings: TOML file
    """
    summary = asyncio.run(run(read_settings(settings, CallerSettings)))
    print_line(attrs.asdict(summary))
    sys.exit(0 if summary.is_clean() else 1)


if __name__ == '__main__':
    cyclopts.run(main)
