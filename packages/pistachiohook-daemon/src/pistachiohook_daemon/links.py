"""Authenticated links that carry typed messages between processes.

A dialer says hello with a nonce, the listener answers with its own; every
frame is then sealed with a keyed hash over both nonces, the direction, the
sequence number and the body. A replayed or forged frame is dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
import secrets
import struct
from typing import Any
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.events import LINK_KEY_REFUSED
from pistachiohook_core.events import MESSAGE_UNREADABLE
import pynng
from returns.result import Failure as Failed

if TYPE_CHECKING:
    from pistachiohook_core.codec import Codec

    from .keys import LinkKeys
    from .logs import Report

#: Length of a nonce, in bytes.
NONCE_LENGTH = 16

#: Length of the keyed hash of a frame, in bytes.
SEAL_LENGTH = 16

#: Largest frame that is received, in bytes.
FRAME_MAX = 64 * 1024 * 1024

#: Frames that wait in each direction of a link.
BUFFERED_FRAMES = 256

#: Longest name of a sender in a hello, in bytes.
NAME_MAX = 200

_HELLO = b'H'
_WELCOME = b'W'
_MESSAGE = b'M'
_AGAIN = b'R'
_TO_LISTENER = b'>'
_TO_DIALER = b'<'
_SEQUENCE = struct.Struct('!Q')
_HEADER_LENGTH = 1 + _SEQUENCE.size + SEAL_LENGTH


@attrs.define
class _Session:
    """State of one authenticated connection."""

    nonces: bytes
    sender: str
    sent: int = 0
    received: int = 0


@attrs.frozen
class Incoming:
    """A message that has arrived at a listener.

    :param peer: number to answer to, valid as long as the connection
    :param sender: name that the dialer has given
    :param message: the message
    """

    peer: int
    sender: str
    message: Any


@attrs.define
class LinkServer:
    """State of a listening end.

    :param codec: messages that are understood
    :param keys: keys that are valid
    :param report: logs an event
    """

    codec: Codec
    keys: LinkKeys
    report: Report
    _socket: Any = None
    _pipes: dict[int, Any] = attrs.field(factory=dict)
    _sessions: dict[int, _Session] = attrs.field(factory=dict)

    def listen(self, address: Address) -> Address:
        """Bind and return the address, with the port that was chosen.

        :raises pynng.NNGException: when the address cannot be bound
        """
        self._socket = _open_socket()
        self._socket.listen(f'tcp://{address}')
        listener = self._socket.listeners[0]
        return parse_address(str(listener.local_address)).unwrap()

    async def receive(self) -> Incoming:
        """Wait for the next good message."""
        while True:
            raw = await _receive_raw(self._socket)
            incoming = self._accept(raw.pipe, raw.bytes)
            if incoming is not None:
                return incoming

    def send(self, peer: int, message: Any) -> bool:
        """Send without waiting.

        :returns: whether the message could be handed to the connection
        """
        session = self._sessions.get(peer)
        if session is None:
            return False
        body = self.codec.encode(message)
        frame = _seal(session, _TO_DIALER, body, self.keys.current)
        return self._send_raw(self._pipes[peer], frame)

    def close(self) -> None:
        """Close the socket and every connection."""
        self._socket.close()

    def _accept(self, pipe: Any, frame: bytes) -> Incoming | None:
        kind = frame[:1]
        if kind == _HELLO:
            self._welcome(pipe, frame)
            return None
        session = self._sessions.get(pipe.id)
        if session is None:
            self._send_raw(pipe, _AGAIN)
            return None
        body = _unseal(session, _TO_LISTENER, frame, self.keys)
        if body is None:
            peer = _describe_pipe(pipe)
            self.report(LINK_KEY_REFUSED, step='receive', peer=peer)
            return None
        return self._decode(pipe.id, session, body)

    def _decode(
        self, peer: int, session: _Session, body: bytes
    ) -> Incoming | None:
        decoded = self.codec.decode(body, session.sender)
        if isinstance(decoded, Failed):
            failure = decoded.failure()
            self.report(
                MESSAGE_UNREADABLE,
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
            )
            return None
        return Incoming(peer, session.sender, decoded.unwrap())

    def _welcome(self, pipe: Any, frame: bytes) -> None:
        theirs = frame[1 : 1 + NONCE_LENGTH]
        name = frame[1 + NONCE_LENGTH :]
        if len(theirs) < NONCE_LENGTH or len(name) > NAME_MAX:
            return
        known = self._sessions.get(pipe.id)
        if known is None or known.nonces[:NONCE_LENGTH] != theirs:
            sender = name.decode('utf-8', 'replace')
            ours = secrets.token_bytes(NONCE_LENGTH)
            known = _Session(theirs + ours, sender)
            self._forget_closed()
            self._pipes[pipe.id] = pipe
            self._sessions[pipe.id] = known
        self._send_raw(pipe, _WELCOME + known.nonces[NONCE_LENGTH:])

    def _forget_closed(self) -> None:
        open_ids = {pipe.id for pipe in self._socket.pipes}
        for number in set(self._pipes) - open_ids:
            del self._pipes[number]
            self._sessions.pop(number, None)

    def _send_raw(self, pipe: Any, frame: bytes) -> bool:
        message = pynng.Message(frame, pipe)
        try:
            self._socket.send_msg(message, block=False)
        except pynng.NNGException:
            return False
        return True


@attrs.define
class LinkClient:
    """State of a dialing end; it reconnects by itself.

    :param name: name that the listener gets to see
    :param address: the listener
    :param codec: messages that are understood
    :param keys: keys that are valid
    :param report: logs an event
    :param frames: frames that have come from the listener
    """

    name: str
    address: Address
    codec: Codec
    keys: LinkKeys
    report: Report
    frames: int = 0
    _socket: Any = None
    _nonce: bytes = b''
    _session: _Session | None = None
    _waiting: list[Any] = attrs.field(factory=list)

    def dial(self) -> None:
        """Begin to connect, in the background."""
        self._socket = _open_socket()
        self._socket.dial(f'tcp://{self.address}', block=False)
        self._say_hello()

    def send(self, message: Any) -> bool:
        """Send without waiting.

        The newest messages wait while the link is not yet authenticated.

        :returns: whether the message could be handed to the connection
        """
        if self._session is None:
            self._waiting = [*self._waiting[1 - BUFFERED_FRAMES :], message]
            return self._say_hello()
        body = self.codec.encode(message)
        frame = _seal(self._session, _TO_LISTENER, body, self.keys.current)
        return self._send_raw(frame)

    async def receive(self) -> Any:
        """Wait for the next good message."""
        while True:
            raw = await _receive_raw(self._socket)
            self.frames += 1
            message = self._accept(raw.bytes)
            if message is not None:
                return message

    def ping(self) -> bool:
        """Ask the listener for a frame, to see whether it still answers.

        :returns: whether the question could be handed to the connection
        """
        return self._say_hello()

    async def drain(self) -> None:
        """Take what arrives and let it go, until the link is closed."""
        with contextlib.suppress(pynng.Closed):
            while True:
                await self.receive()

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    def _accept(self, frame: bytes) -> Any:
        kind = frame[:1]
        if kind == _AGAIN:
            self._session = None
            self._nonce = b''
            self._say_hello()
            return None
        if kind == _WELCOME:
            self._start_session(frame[1:])
            return None
        if self._session is None:
            return None
        body = _unseal(self._session, _TO_DIALER, frame, self.keys)
        if body is None:
            peer = str(self.address)
            self.report(LINK_KEY_REFUSED, step='receive', peer=peer)
            return None
        return self.codec.decode(body, str(self.address)).value_or(None)

    def _start_session(self, theirs: bytes) -> None:
        nonces = self._nonce + theirs
        if self._session is not None and self._session.nonces == nonces:
            return
        self._session = _Session(nonces, str(self.address))
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            self.send(message)

    def _say_hello(self) -> bool:
        self._nonce = self._nonce or secrets.token_bytes(NONCE_LENGTH)
        return self._send_raw(_HELLO + self._nonce + self.name.encode())

    def _send_raw(self, frame: bytes) -> bool:
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True


async def _receive_raw(socket: Any) -> Any:
    raw = await socket.arecv_msg()
    task = asyncio.current_task()
    # pynng drops a cancellation that comes together with a message.
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return raw


def _open_socket() -> Any:
    return pynng.Pair1(
        polyamorous=True,
        recv_max_size=FRAME_MAX,
        recv_buffer_size=BUFFERED_FRAMES,
        send_buffer_size=BUFFERED_FRAMES,
        reconnect_time_min=100,
        reconnect_time_max=1000,
    )


def _seal(
    session: _Session, direction: bytes, body: bytes, link_key: bytes
) -> bytes:
    session.sent += 1
    sequence = _SEQUENCE.pack(session.sent)
    seal = _hash(session.nonces, direction, sequence, body, link_key)
    return _MESSAGE + sequence + seal + body


def _unseal(
    session: _Session, direction: bytes, frame: bytes, keys: LinkKeys
) -> bytes | None:
    if frame[:1] != _MESSAGE or len(frame) < _HEADER_LENGTH:
        return None
    sequence = frame[1 : 1 + _SEQUENCE.size]
    seal = frame[1 + _SEQUENCE.size : _HEADER_LENGTH]
    body = frame[_HEADER_LENGTH:]
    matches = any(
        hmac.compare_digest(
            seal, _hash(session.nonces, direction, sequence, body, one)
        )
        for one in keys.list_valid()
    )
    (number,) = _SEQUENCE.unpack(sequence)
    if not matches or number <= session.received:
        return None
    session.received = number
    return body


def _hash(
    nonces: bytes,
    direction: bytes,
    sequence: bytes,
    body: bytes,
    link_key: bytes,
) -> bytes:
    keyed = hashlib.blake2b(
        direction + nonces + sequence,
        key=link_key,
        digest_size=SEAL_LENGTH,
    )
    keyed.update(body)
    return keyed.digest()


def _describe_pipe(pipe: Any) -> str:
    try:
        return str(pipe.remote_address)
    except pynng.NNGException:
        return 'a closed connection'
