"""The GOAWAY frame of HTTP/3, which starts a graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import encode_frame
from aioquic.h3.connection import FrameType

if TYPE_CHECKING:
    from .engine import Engine
    from .engine import Flow

#: Difference between the numbers of two successive request streams (RFC 9000,
#: 2.1).
STREAM_STEP = 4


def send_goaway(engine: Engine, flow: Flow) -> None:
    """Tell a caller to send new requests on another connection.

    Requests on the streams that are already known are still served (RFC 9114,
    5.2).

    :param engine: engine that holds the flow
    :param flow: flow of the caller
    """
    if flow.h3 is None or flow.ended:
        return
    control = flow.h3._local_control_stream_id
    if control is None:
        return
    limit = STREAM_STEP * len(flow.h3._stream)
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(limit))
    flow.connection.send_stream_data(control, frame)
    engine.advance(flow)
