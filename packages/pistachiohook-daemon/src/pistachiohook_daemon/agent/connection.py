"""One QUIC connection with bounded windows and derived reset tokens."""

from __future__ import annotations

import hashlib
import os
from typing import Any

from aioquic.quic.connection import QuicConnection
from aioquic.quic.connection import QuicConnectionId
from aioquic.quic.packet import QuicFrameType

#: Length of a stateless reset token, in bytes (RFC 9000, 10.3).
RESET_TOKEN_LENGTH = 16

#: Smallest stateless reset that is not mistaken, in bytes.
RESET_LENGTH_MIN = 43

#: Most connection ids that are handed to a caller.
CONNECTION_IDS_MAX = 8

#: Unread bytes of one request body that an agent holds at most.
STREAM_WINDOW = 256 * 1024

#: Space that a frame with two integers takes at most, in bytes.
_LIMIT_FRAME_CAPACITY = 1 + 8 + 8


def derive_reset_token(reset_key: bytes, connection_id: bytes) -> bytes:
    """Return the stateless reset token of a connection id.

    Every agent of the system derives the same token from the same key, so
    that any of them can end a flow that none knows any more.

    :param reset_key: key that the agents share
    :param connection_id: id that stands in the caller's datagram
    """
    keyed = hashlib.blake2b(
        connection_id, key=reset_key, digest_size=RESET_TOKEN_LENGTH
    )
    return keyed.digest()


def build_stateless_reset(reset_key: bytes, connection_id: bytes) -> bytes:
    """Return a datagram that ends the flow at the caller.

    :param reset_key: key that the agents share
    :param connection_id: id that stands in the caller's datagram
    """
    padding = bytearray(os.urandom(RESET_LENGTH_MIN - RESET_TOKEN_LENGTH))
    padding[0] = padding[0] & 0x3F | 0x40
    return bytes(padding) + derive_reset_token(reset_key, connection_id)


class AgentConnection(QuicConnection):
    """State of one connection at its agent.

    The windows follow what was consumed and not what was received, so that
    a target that reads slowly slows the caller down.
    """

    def __init__(self, *, reset_key: bytes, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._reset_key = reset_key
        self._consumed: dict[int, int] = {}
        first = self._host_cids[0]
        first.stateless_reset_token = derive_reset_token(reset_key, first.cid)

    def consume(self, stream_id: int, amount: int) -> None:
        """Count bytes of a request body that have left the agent."""
        known = self._consumed.get(stream_id, 0)
        self._consumed[stream_id] = known + amount

    def count_unsent(self, stream_id: int) -> int:
        """Return the bytes of a response that wait for the caller."""
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream is not None else 0

    def _replenish_connection_ids(self) -> None:
        wanted = min(
            CONNECTION_IDS_MAX, self._remote_active_connection_id_limit
        )
        while len(self._host_cids) < wanted:
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
                capacity=_LIMIT_FRAME_CAPACITY,
                handler=self._on_max_stream_data_delivery,
                handler_args=(stream,),
            )
            buffer.push_uint_var(stream.stream_id)
            buffer.push_uint_var(stream.max_stream_data_local)
            stream.max_stream_data_local_sent = stream.max_stream_data_local

    def hold_window(self, stream_id: int) -> None:
        """Let the window of this stream follow :meth:`consume` only."""
        self._consumed.setdefault(stream_id, 0)
