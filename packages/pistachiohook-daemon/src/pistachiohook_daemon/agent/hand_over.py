"""Hand-over of requests between agents, by authenticated HTTP/1.1."""

from __future__ import annotations

import asyncio
from functools import partial
import hashlib
import hmac
import secrets
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.events import LINK_KEY_REFUSED
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from .exchange import ExchangeCancelledError
from .exchange import Header
from .target import BODY_MAX

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from ..keys import LinkKeys
    from ..logs import Report

#: Header field with the proof that an agent sent the request.
PROOF_HEADER = 'pistachiohook-proof'

#: Age from which a proof is no longer taken, in seconds.
PROOF_LIFETIME = 10.0

#: Length of a proof's nonce and of its keyed hash, in bytes.
NONCE_LENGTH = 16

#: Flow that stands for the requests handed over by one peer.
_FLOW_PREFIX = 'handed over by '


@attrs.frozen
class Head:
    """What a proof covers: method, path and target of a request."""

    method: str
    path: str
    target: str


def make_proof(head: Head, keys: LinkKeys, now: float) -> Header:
    """Return the header field that proves where a request comes from.

    :param head: the request
    :param keys: the current one seals
    :param now: seconds since the epoch
    """
    nonce = secrets.token_hex(NONCE_LENGTH)
    stamp = f'{now:.3f}'
    seal = _seal(head, stamp, nonce, keys.current)
    return Header(PROOF_HEADER, f'{stamp}:{nonce}:{seal}')


def _seal(head: Head, stamp: str, nonce: str, key: bytes) -> str:
    covered = '\n'.join((head.method, head.path, head.target, stamp, nonce))
    keyed = hashlib.blake2b(
        covered.encode(),
        key=key,
        digest_size=NONCE_LENGTH,
        person=b'hand-over',
    )
    return keyed.hexdigest()


@attrs.define
class ProofChecker:
    """State of the proofs that were taken.

    :param keys: keys that are valid
    """

    keys: LinkKeys
    _seen: dict[str, float] = attrs.field(factory=dict)

    def check(self, head: Head, proof: str, now: float) -> bool:
        """Say whether a proof is good and was not used before.

        :param head: the request as it arrived
        :param proof: value of the header field
        :param now: seconds since the epoch
        """
        stamp, _, rest = proof.partition(':')
        nonce, _, seal = rest.partition(':')
        matches = any(
            hmac.compare_digest(
                _seal(head, stamp, nonce, key).encode(), seal.encode()
            )
            for key in self.keys.list_valid()
        )
        if not matches or abs(now - float(stamp)) > PROOF_LIFETIME:
            return False
        self._forget_old(now)
        if nonce in self._seen:
            return False
        self._seen[nonce] = now
        return True

    def _forget_old(self, now: float) -> None:
        old = [
            nonce
            for nonce, seen in self._seen.items()
            if now - seen > 2 * PROOF_LIFETIME
        ]
        for nonce in old:
            del self._seen[nonce]


@attrs.define(eq=False)
class HandedExchange:
    """State of one request that a peer handed over.

    :param connection: HTTP/1.1 connection to the peer
    :param flow_name: stands for the flow at the peer
    :param method: method of the request
    :param path: path with query
    :param headers: other header fields
    """

    connection: HTTP1Connection
    flow_name: str
    method: str
    path: str
    headers: tuple[Header, ...]
    has_body: bool = True
    cancelled: asyncio.Event = attrs.field(factory=asyncio.Event)
    response_started: bool = False
    finished: bool = False
    _chunks: asyncio.Queue[bytes] = attrs.field(
        factory=partial(asyncio.Queue, 1)
    )

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header field of that name."""
        values = (one.value for one in self.headers if one.name == name)
        return next(values, None)

    async def feed_body(self, chunk: bytes) -> None:
        """Take a part of the body when there is room; empty at its end."""
        if not self.finished and not self.cancelled.is_set():
            await self._chunks.put(chunk)

    def cancel(self) -> None:
        """Note that nobody waits for the response."""
        self.cancelled.set()
        if self._chunks.full():
            self._chunks.get_nowait()
        self._chunks.put_nowait(b'')

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body.

        :raises ExchangeCancelledError: when the body was cut
        """
        while True:
            chunk = await self._chunks.get()
            if self.cancelled.is_set():
                raise ExchangeCancelledError
            if not chunk:
                return
            yield chunk

    def respond(
        self, status: int, headers: tuple[Header, ...], ended: bool = False
    ) -> None:
        """Send the head of the response."""
        if self.cancelled.is_set():
            return
        self.response_started = True
        fields = HTTPHeaders()
        for header in headers:
            fields.add(header.name, header.value)
        start = ResponseStartLine('HTTP/1.1', status, 'Handed over')
        self._watch(self.connection.write_headers(start, fields))
        if ended:
            self.end_response(b'')

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Send a part of the response body when there is room for it.

        :raises ExchangeCancelledError: when nobody waits for it
        """
        if self.cancelled.is_set():
            raise ExchangeCancelledError
        try:
            await self.connection.write(chunk)
        except StreamClosedError as error:
            raise ExchangeCancelledError from error
        if ended:
            self.end_response(b'')

    def end_response(self, chunk: bytes) -> None:
        """Send the end of the response body."""
        if self.cancelled.is_set() or self.finished:
            return
        self.finished = True
        if chunk:
            self._watch(self.connection.write(chunk))
        self.connection.finish()

    def abort(self) -> None:
        """Cut the response, so that it never passes as whole."""
        self.finished = True
        self.connection.close()

    @staticmethod
    def _watch(written: asyncio.Future[None]) -> None:
        # A peer that has cancelled is noticed by the close callback.
        written.add_done_callback(lambda done: done.exception())


@attrs.frozen
class HandOverServer:
    """Where peers hand requests over.

    :param accept: takes a request, and what to call when it has ended;
        returns its number
    :param cancel: takes the number of a request that nobody waits for
    :param target: name of this agent's target
    :param proofs: checks where a request comes from
    :param report: logs an event
    """

    accept: Callable[[Any, Callable[[], object]], int | None]
    cancel: Callable[[int], None]
    target: str
    proofs: ProofChecker
    report: Report

    def listen(self, address: Address) -> Address:
        """Bind and return the address, with the port that was chosen.

        :raises OSError: when the address cannot be bound
        """
        server = HTTPServer(_Connections(self), max_body_size=BODY_MAX)
        sockets = bind_sockets(address.port, address.host)
        server.add_sockets(sockets)
        return Address(*sockets[0].getsockname()[:2])


class _Connections(HTTPServerConnectionDelegate):
    def __init__(self, server: HandOverServer) -> None:
        self.server = server

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        del server_conn
        return _Message(self.server, request_conn)


class _Message(HTTPMessageDelegate):
    def __init__(
        self, server: HandOverServer, connection: HTTP1Connection
    ) -> None:
        self.server = server
        self.connection = connection
        self.exchange: HandedExchange | None = None
        self.number: int | None = None

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        line: RequestStartLine = start_line
        head = Head(line.method, line.path, self.server.target)
        proof = headers.get(PROOF_HEADER, '')
        if not self.server.proofs.check(head, proof, time.time()):
            self._refuse()
            return None
        fields = tuple(
            Header(name.lower(), value)
            for name, value in headers.get_all()
            if name.lower() not in (PROOF_HEADER, 'host', 'connection')
        )
        peer = self.connection.stream.socket.getpeername()[0]
        self.exchange = HandedExchange(
            self.connection,
            _FLOW_PREFIX + peer,
            line.method,
            line.path,
            fields,
        )
        self.connection.set_close_callback(self.on_connection_close)
        self.number = self.server.accept(self.exchange, lambda: None)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.exchange is None:
            return None
        return self.exchange.feed_body(chunk)

    def finish(self) -> None:
        if self.exchange is not None:
            ending = self.exchange.feed_body(b'')
            self.ending = asyncio.create_task(ending)

    def on_connection_close(self) -> None:
        if self.exchange is None or self.exchange.finished:
            return
        self.exchange.cancel()
        if self.number is not None:
            self.server.cancel(self.number)

    def _refuse(self) -> None:
        self.server.report(
            LINK_KEY_REFUSED,
            step='hand over',
            peer=str(self.connection.stream.socket.getpeername()[0]),
        )
        start = ResponseStartLine('HTTP/1.1', 403, 'Forbidden')
        fields = HTTPHeaders({'Content-Length': '0'})
        self.connection.write_headers(start, fields)
        self.connection.finish()
