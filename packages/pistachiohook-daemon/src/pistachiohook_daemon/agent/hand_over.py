"""Hand-over of requests between agents over authenticated HTTP/1.1."""

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

#: Header field with the proof that an agent sent the request: a time, a nonce
#: and a keyed hash.
PROOF_HEADER = 'pistachiohook-proof'

#: Largest accepted difference between a proof's time and the local clock, in
#: seconds.
PROOF_LIFETIME = 10.0

#: Length of a proof's nonce and of its keyed hash, each in bytes.
NONCE_LENGTH = 16

#: Prefix of the flow name that all requests of one peer share.
_FLOW_PREFIX = 'handed over by '


@attrs.frozen
class RequestHead:
    """The parts of a request that a proof covers.

    :param method: method
    :param path: path with query
    :param target: name of the target of the agent that receives the request
    """

    method: str
    path: str
    target: str


def make_proof(head: RequestHead, keys: LinkKeys, now: float) -> Header:
    """Return the header field that proves that an agent sent a request.

    :param head: covered parts of the request
    :param keys: link keys; the current one keys the hash
    :param now: current time, in seconds since the epoch
    """
    nonce = secrets.token_hex(NONCE_LENGTH)
    timestamp = f'{now:.3f}'
    mac = _compute_mac(head, timestamp, nonce, keys.current)
    return Header(PROOF_HEADER, f'{timestamp}:{nonce}:{mac}')


def _compute_mac(
    head: RequestHead, timestamp: str, nonce: str, key: bytes
) -> str:
    covered = '\n'.join(
        (head.method, head.path, head.target, timestamp, nonce)
    )
    keyed = hashlib.blake2b(
        covered.encode(),
        key=key,
        digest_size=NONCE_LENGTH,
        person=b'hand-over',
    )
    return keyed.hexdigest()


@attrs.define
class ProofChecker:
    """Verifies proofs and rejects those that were already used.

    :param keys: link keys; the proof may be made with any valid one
    """

    keys: LinkKeys
    _used_nonces: dict[str, float] = attrs.field(factory=dict)

    def check(self, head: RequestHead, proof: str, now: float) -> bool:
        """Return whether a proof is valid, recent and not yet used.

        :param head: covered parts of the request as received
        :param proof: value of the header field
        :param now: current time, in seconds since the epoch
        """
        timestamp, _, rest = proof.partition(':')
        nonce, _, mac = rest.partition(':')
        matches = any(
            hmac.compare_digest(
                _compute_mac(head, timestamp, nonce, key).encode(),
                mac.encode(),
            )
            for key in self.keys.list_valid()
        )
        if not matches or abs(now - float(timestamp)) > PROOF_LIFETIME:
            return False
        self._purge_nonces(now)
        if nonce in self._used_nonces:
            return False
        self._used_nonces[nonce] = now
        return True

    def _purge_nonces(self, now: float) -> None:
        """Remove the nonces whose proofs can no longer be valid.

        A sender's clock may be ahead by the lifetime, so its proof stays
        valid for up to twice the lifetime after it was received.
        """
        old = [
            nonce
            for nonce, seen in self._used_nonces.items()
            if now - seen > 2 * PROOF_LIFETIME
        ]
        for nonce in old:
            del self._used_nonces[nonce]


@attrs.define(eq=False)
class HandedOverExchange:
    """A request that a peer has handed over, with methods to answer it.

    :param connection: HTTP/1.1 connection from the peer
    :param flow_name: name that all requests of the peer share
    :param method: method
    :param path: path with query
    :param headers: header fields without those of the connection
    :param has_body: whether a body follows
    :param cancelled: set when the peer no longer waits for the response
    :param response_started: whether the head of the response was sent
    :param finished: whether the response was ended or cut off
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
        """Queue a chunk of the request body, empty at its end.

        Waits until the previous chunk has been read, so that a target that
        reads slowly slows the peer down.
        """
        if not self.finished and not self.cancelled.is_set():
            await self._chunks.put(chunk)

    def cancel(self) -> None:
        """Mark the request as cancelled by the peer and wake its reader."""
        self.cancelled.set()
        if self._chunks.full():
            self._chunks.get_nowait()
        self._chunks.put_nowait(b'')

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the request body.

        :raises ExchangeCancelledError: when the request was cancelled before
            the body had ended
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
        self._ignore_errors(self.connection.write_headers(start, fields))
        if ended:
            self.end_response(b'')

    async def send_body(self, chunk: bytes, ended: bool = False) -> None:
        """Send a part of the response body and wait until it was written.

        :raises ExchangeCancelledError: when the request was cancelled
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
        """End the response with a last chunk, which may be empty."""
        if self.cancelled.is_set() or self.finished:
            return
        self.finished = True
        if chunk:
            self._ignore_errors(self.connection.write(chunk))
        self.connection.finish()

    def abort(self) -> None:
        """Abort the response so that it is not taken for a complete one."""
        self.finished = True
        self.connection.close()

    @staticmethod
    def _ignore_errors(written: asyncio.Future[None]) -> None:
        # The close callback handles a connection that the peer has closed.
        written.add_done_callback(lambda done: done.exception())


@attrs.frozen
class HandOverServer:
    """HTTP/1.1 server for the requests that peers hand over.

    :param accept: called with a request and a function that it calls when the
        request has ended; returns the number of the request, or ``None`` when
        it was refused at once
    :param cancel: called with the number of a request that was cancelled
    :param target: name of this agent's target
    :param proofs: verifies that an agent sent the request
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
        server = HTTPServer(_ConnectionDelegate(self), max_body_size=BODY_MAX)
        sockets = bind_sockets(address.port, address.host)
        server.add_sockets(sockets)
        return Address(*sockets[0].getsockname()[:2])


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: HandOverServer) -> None:
        self.server = server

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        del server_conn
        return _RequestDelegate(self.server, request_conn)


class _RequestDelegate(HTTPMessageDelegate):
    def __init__(
        self, server: HandOverServer, connection: HTTP1Connection
    ) -> None:
        self.server = server
        self.connection = connection
        self.exchange: HandedOverExchange | None = None
        self.request_id: int | None = None

    def headers_received(
        self, start_line: Any, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        line: RequestStartLine = start_line
        head = RequestHead(line.method, line.path, self.server.target)
        proof = headers.get(PROOF_HEADER, '')
        if not self.server.proofs.check(head, proof, time.time()):
            self._reject()
            return None
        fields = tuple(
            Header(name.lower(), value)
            for name, value in headers.get_all()
            if name.lower() not in (PROOF_HEADER, 'host', 'connection')
        )
        peer = self.connection.stream.socket.getpeername()[0]
        self.exchange = HandedOverExchange(
            self.connection,
            _FLOW_PREFIX + peer,
            line.method,
            line.path,
            fields,
        )
        self.connection.set_close_callback(self.on_connection_close)
        self.request_id = self.server.accept(self.exchange, lambda: None)
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
        if self.request_id is not None:
            self.server.cancel(self.request_id)

    def _reject(self) -> None:
        self.server.report(
            LINK_KEY_REFUSED,
            step='hand over',
            peer=str(self.connection.stream.socket.getpeername()[0]),
        )
        start = ResponseStartLine('HTTP/1.1', 403, 'Forbidden')
        fields = HTTPHeaders({'Content-Length': '0'})
        self.connection.write_headers(start, fields)
        self.connection.finish()
