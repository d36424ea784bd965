"""A QUIC connection with bounded buffering and derived reset tokens."""

from __future__ import annotations

import hashlib
import os
from typing import Any

from aioquic.quic.connection import QuicConnection
from aioquic.quic.connection import QuicConnectionId
from aioquic.quic.packet import QuicFrameType

#: Length of a stateless reset token, in bytes (RFC 9000, 10.3).
RESET_TOKEN_LENGTH = 16

#: Length of a stateless reset, in bytes: long enough to look like an ordinary
#: packet with a short header (RFC 9000, 10.3).
RESET_LENGTH_MIN = 43

#: Most connection ids that are issued to a caller at a time.
CONNECTION_IDS_MAX = 8

#: Flow control window of one request body, and number of unacknowledged bytes
#: of one response above which the agent stops adding more, in bytes.
STREAM_WINDOW = 256 * 1024

#: Longest MAX_STREAM_DATA frame, in bytes: its type and two integers.
MAX_STREAM_DATA_CAPACITY = 1 + 8 + 8


def derive_reset_token(reset_key: bytes, connection_id: bytes) -> bytes:
    """Return the stateless reset token of a connection id.

    Every agent derives the same token from the shared key, so that any of
    them can reset a connection whose state was lost.

    :param reset_key: key that the agents share
    :param connection_id: destination connection id of the caller's datagram
    """
    keyed = hashlib.blake2b(
        connection_id, key=reset_key, digest_size=RESET_TOKEN_LENGTH
    )
    return keyed.digest()


def build_stateless_reset(reset_key: bytes, connection_id: bytes) -> bytes:
    """Return a stateless reset, which ends the connection at the caller.

    :param reset_key: key that the agents share
    :param connection_id: destination connection id of the caller's datagram
    """
    padding = bytearray(os.urandom(RESET_LENGTH_MIN - RESET_TOKEN_LENGTH))
    padding[0] = padding[0] & 0x3F | 0x40
    return bytes(padding) + derive_reset_token(reset_key, connection_id)


class AgentConnection(QuicConnection):
    """The agent's side of a QUIC connection.

    The flow control window of a request body advances when bytes are sent to
    the target, not when they are received: a target that reads slowly slows
    the caller down.
    """

    def __init__(self, *, reset_key: bytes, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._reset_key = reset_key
        self._consumed: dict[int, int] = {}
        first_id = self._host_cids[0]
        first_id.stateless_reset_token = derive_reset_token(
            reset_key, first_id.cid
        )

    def consume(self, stream_id: int, amount: int) -> None:
        """Record that bytes of a request body were passed on."""
        consumed = self._consumed.get(stream_id, 0)
        self._consumed[stream_id] = consumed + amount

    def count_unacknowledged(self, stream_id: int) -> int:
        """Return the size of a response's send buffer, in bytes.

        It holds the bytes that are not sent yet or not acknowledged yet.
        """
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream is not None else 0

    def _replenish_connection_ids(self) -> None:
        limit = min(
            CONNECTION_IDS_MAX, self._remote_active_connection_id_limit
        )
        while len(self._host_cids) < limit:
            cid = os.urandom(self._configuration.connection_id_length)
            token = derive_reset_token(self._reset_key, cid)
            self._host_cids.append(
                QuicConnectionId(
                    cid=cid,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=token,
                )
            )
            self._host_cid_seq += 1

    def _write_stream_limits(
        self, builder: Any, space: Any, stream: Any
    ) -> None:
        if not stream.max_stream_data_local:
            return
        consumed = self._consumed.get(stream.stream_id)
        if consumed is None:
            super()._write_stream_limits(builder, space, stream)
            return
        limit = consumed + STREAM_WINDOW
        if limit - stream.max_stream_data_local >= STREAM_WINDOW // 2:
            stream.max_stream_data_local = limit
        if stream.max_stream_data_local_sent != stream.max_stream_data_local:
            buffer = builder.start_frame(
                QuicFrameType.MAX_STREAM_DATA,
                capacity=MAX_STREAM_DATA_CAPACITY,
                handler=self._on_max_stream_data_delivery,
                handler_args=(stream,),
            )
            buffer.push_uint_var(stream.stream_id)
            buffer.push_uint_var(stream.max_stream_data_local)
            stream.max_stream_data_local_sent = stream.max_stream_data_local

    def track_consumption(self, stream_id: int) -> None:
        """Advance the window of this stream only by :meth:`consume`."""
        self._consumed.setdefault(stream_id, 0)
