"""Authenticated links that carry typed messages between processes.

The dialer sends a hello with its nonce, and the listener answers with its own.
Every later frame carries a sequence number and a message authentication code
(MAC): a keyed hash of both nonces, the direction, the sequence number and the
body. Frames are not encrypted; replayed and forged frames are dropped.
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

#: Length of the MAC of a frame, in bytes.
MAC_LENGTH = 16

#: Longest frame that is received, in bytes.
FRAME_LENGTH_MAX = 64 * 1024 * 1024

#: Capacity of the buffer in each direction of a link, in frames.
BUFFER_FRAMES = 256

#: Longest name of a dialer in a hello, in bytes.
NAME_LENGTH_MAX = 200

# First byte of a frame: hello with nonce and name of the dialer, answer to it
# with the nonce of the listener, authenticated message, and the request of a
# listener without a session that the dialer send a new hello.
_HELLO = b'H'
_WELCOME = b'W'
_MESSAGE = b'M'
_RESTART = b'R'
# Direction of a frame, part of its MAC.
_TO_LISTENER = b'>'
_TO_DIALER = b'<'
_SEQUENCE = struct.Struct('!Q')
_HEADER_LENGTH = 1 + _SEQUENCE.size + MAC_LENGTH


@attrs.define
class _Session:
    """State of one authenticated connection.

    :param nonces: nonce of the dialer, then that of the listener
    :param sender: name of the other end
    :param sent: sequence number of the last frame that was sent
    :param received: sequence number of the last frame that was accepted
    """

    nonces: bytes
    sender: str
    sent: int = 0
    received: int = 0


@attrs.frozen
class Incoming:
    """A message that a listener has received.

    :param peer: identifier of the connection, for answers; valid until the
        connection is closed
    :param sender: name of the dialer, from its hello
    :param message: decoded message
    """

    peer: int
    sender: str
    message: Any


@attrs.define
class LinkServer:
    """Listening end of a link.

    :param codec: encodes and decodes the messages
    :param keys: keys that authenticate frames
    :param report: logs an event
    """

    codec: Codec
    keys: LinkKeys
    report: Report
    _socket: Any = None
    _pipes: dict[int, Any] = attrs.field(factory=dict)
    _sessions: dict[int, _Session] = attrs.field(factory=dict)

    def listen(self, address: Address) -> Address:
        """Bind, and return the address with the actual port.

        :raises pynng.NNGException: when the address cannot be bound
        """
        self._socket = _open_socket()
        self._socket.listen(f'tcp://{address}')
        listener = self._socket.listeners[0]
        return parse_address(str(listener.local_address)).unwrap()

    async def receive(self) -> Incoming:
        """Wait for the next message that is authentic and can be decoded."""
        while True:
            raw = await _receive_raw(self._socket)
            incoming = self._process_frame(raw.pipe, raw.bytes)
            if incoming is not None:
                return incoming

    def send(self, peer: int, message: Any) -> bool:
        """Send a message without blocking.

        :param peer: connection, as in :class:`Incoming`
        :param message: an instance of a class of the codec
        :returns: whether the socket accepted the message
        """
        session = self._sessions.get(peer)
        if session is None:
            return False
        body = self.codec.encode(message)
        frame = _authenticate(session, _TO_DIALER, body, self.keys.current)
        return self._send_raw(self._pipes[peer], frame)

    def close(self) -> None:
        """Close the socket and all connections."""
        self._socket.close()

    def _process_frame(self, pipe: Any, frame: bytes) -> Incoming | None:
        kind = frame[:1]
        if kind == _HELLO:
            self._answer_hello(pipe, frame)
            return None
        session = self._sessions.get(pipe.id)
        if session is None:
            self._send_raw(pipe, _RESTART)
            return None
        body = _verify(session, _TO_LISTENER, frame, self.keys)
        if body is None:
            peer = _describe_remote(pipe)
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

    def _answer_hello(self, pipe: Any, frame: bytes) -> None:
        remote_nonce = frame[1 : 1 + NONCE_LENGTH]
        name = frame[1 + NONCE_LENGTH :]
        if len(remote_nonce) < NONCE_LENGTH or len(name) > NAME_LENGTH_MAX:
            return
        known = self._sessions.get(pipe.id)
        if known is None or known.nonces[:NONCE_LENGTH] != remote_nonce:
            sender = name.decode('utf-8', 'replace')
            own_nonce = secrets.token_bytes(NONCE_LENGTH)
            known = _Session(remote_nonce + own_nonce, sender)
            self._remove_closed()
            self._pipes[pipe.id] = pipe
            self._sessions[pipe.id] = known
        self._send_raw(pipe, _WELCOME + known.nonces[NONCE_LENGTH:])

    def _remove_closed(self) -> None:
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
    """Dialing end of a link; reconnects automatically.

    :param name: name that the hello gives to the listener
    :param address: address of the listener
    :param codec: encodes and decodes the messages
    :param keys: keys that authenticate frames
    :param report: logs an event
    :param frames: count of frames received from the listener
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
    _unsent: list[Any] = attrs.field(factory=list)

    def dial(self) -> None:
        """Start to connect in the background."""
        self._socket = _open_socket()
        self._socket.dial(f'tcp://{self.address}', block=False)
        self._send_hello()

    def send(self, message: Any) -> bool:
        """Send a message without blocking.

        Until the link is authenticated, the newest messages are kept and
        sent later; the oldest are dropped beyond :data:`BUFFER_FRAMES`.

        :returns: whether the socket accepted the message, or the hello that
            has to come first
        """
        if self._session is None:
            self._unsent = [*self._unsent[1 - BUFFER_FRAMES :], message]
            return self._send_hello()
        body = self.codec.encode(message)
        frame = _authenticate(
            self._session, _TO_LISTENER, body, self.keys.current
        )
        return self._send_raw(frame)

    async def receive(self) -> Any:
        """Wait for the next message that is authentic and can be decoded."""
        while True:
            raw = await _receive_raw(self._socket)
            self.frames += 1
            message = self._process_frame(raw.bytes)
            if message is not None:
                return message

    def ping(self) -> bool:
        """Send a hello, which a live listener answers with a frame.

        :returns: whether the socket accepted the hello
        """
        return self._send_hello()

    async def discard_messages(self) -> None:
        """Receive and discard messages until the link is closed."""
        with contextlib.suppress(pynng.Closed):
            while True:
                await self.receive()

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    def _process_frame(self, frame: bytes) -> Any:
        kind = frame[:1]
        if kind == _RESTART:
            self._session = None
            self._nonce = b''
            self._send_hello()
            return None
        if kind == _WELCOME:
            self._start_session(frame[1:])
            return None
        if self._session is None:
            return None
        body = _verify(self._session, _TO_DIALER, frame, self.keys)
        if body is None:
            peer = str(self.address)
            self.report(LINK_KEY_REFUSED, step='receive', peer=peer)
            return None
        return self.codec.decode(body, str(self.address)).value_or(None)

    def _start_session(self, remote_nonce: bytes) -> None:
        nonces = self._nonce + remote_nonce
        if self._session is not None and self._session.nonces == nonces:
            return
        self._session = _Session(nonces, str(self.address))
        unsent, self._unsent = self._unsent, []
        for message in unsent:
            self.send(message)

    def _send_hello(self) -> bool:
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
    # pynng swallows a cancellation that coincides with a received message.
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
    return raw


def _open_socket() -> Any:
    return pynng.Pair1(
        polyamorous=True,
        recv_max_size=FRAME_LENGTH_MAX,
        recv_buffer_size=BUFFER_FRAMES,
        send_buffer_size=BUFFER_FRAMES,
        reconnect_time_min=100,
        reconnect_time_max=1000,
    )


def _authenticate(
    session: _Session, direction: bytes, body: bytes, link_key: bytes
) -> bytes:
    session.sent += 1
    sequence = _SEQUENCE.pack(session.sent)
    mac = _compute_mac(session.nonces, direction, sequence, body, link_key)
    return _MESSAGE + sequence + mac + body


def _verify(
    session: _Session, direction: bytes, frame: bytes, keys: LinkKeys
) -> bytes | None:
    if frame[:1] != _MESSAGE or len(frame) < _HEADER_LENGTH:
        return None
    sequence = frame[1 : 1 + _SEQUENCE.size]
    mac = frame[1 + _SEQUENCE.size : _HEADER_LENGTH]
    body = frame[_HEADER_LENGTH:]
    matches = any(
        hmac.compare_digest(
            mac,
            _compute_mac(session.nonces, direction, sequence, body, link_key),
        )
        for link_key in keys.list_valid()
    )
    (number,) = _SEQUENCE.unpack(sequence)
    if not matches or number <= session.received:
        return None
    session.received = number
    return body


def _compute_mac(
    nonces: bytes,
    direction: bytes,
    sequence: bytes,
    body: bytes,
    link_key: bytes,
) -> bytes:
    keyed = hashlib.blake2b(
        direction + nonces + sequence,
        key=link_key,
        digest_size=MAC_LENGTH,
    )
    keyed.update(body)
    return keyed.digest()


def _describe_remote(pipe: Any) -> str:
    try:
        return str(pipe.remote_address)
    except pynng.NNGException:
        return 'a closed connection'
