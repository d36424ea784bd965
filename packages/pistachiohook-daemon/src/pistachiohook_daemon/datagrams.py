"""Non-blocking UDP sockets that are read in batches."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.events import DATAGRAM_DROPPED

if TYPE_CHECKING:
    from collections.abc import Callable

    from .logs import Report

#: Default limit on the datagrams that one callback reads before it returns to
#: the event loop.
BATCH_SIZE = 64

#: Longest datagram that is received, in bytes.
DATAGRAM_LENGTH_MAX = 65535

#: Kernel buffer that is requested for each direction, in bytes.
SOCKET_BUFFER = 4 * 1024 * 1024


@attrs.define
class DatagramSocket:
    """A UDP socket and its address.

    :param bind: address to bind; port 0 lets the system choose, and the
        actual address replaces it
    :param report: logs an event
    :param batch: limit on the datagrams read by one callback
    """

    bind: Address
    report: Report
    batch: int = BATCH_SIZE
    _socket: socket.socket | None = None

    def open(self) -> Address:
        """Bind the socket and return its address.

        :raises OSError: when the address cannot be bound
        """
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER
        )
        udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER
        )
        udp_socket.bind((self.bind.host, self.bind.port))
        self._socket = udp_socket
        self.bind = Address(*udp_socket.getsockname())
        return self.bind

    def send(self, data: bytes, address: Address) -> bool:
        """Send one datagram without blocking.

        A datagram that cannot be sent, for example because the send buffer
        is full, is dropped and logged.

        :returns: whether the system accepted it
        """
        if self._socket is None:
            return False
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError as error:
            self.report(
                DATAGRAM_DROPPED,
                peer=str(address),
                length=len(data),
                reason=str(error),
            )
            return False
        return True

    async def serve(self, receive: Callable[[bytes, Address], None]) -> None:
        """Pass each datagram to a callback until cancelled, then close.

        An exception of the callback also closes the socket and is raised
        here. The next call binds the same address again.

        :param receive: called with each datagram and its sender
        :raises OSError: when the address cannot be bound again
        """
        if self._socket is None:
            self.open()
        assert self._socket is not None
        failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._receive_batch, receive, failed)
        try:
            await failed
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _receive_batch(
        self,
        receive: Callable[[bytes, Address], None],
        failed: asyncio.Future[None],
    ) -> None:
        assert self._socket is not None
        for _ in range(self.batch):
            try:
                data, peer = self._socket.recvfrom(DATAGRAM_LENGTH_MAX)
            except BlockingIOError:
                return
            except ConnectionRefusedError as error:
                # ICMP reported that an earlier datagram was undeliverable.
                self.report(DATAGRAM_DROPPED, reason=str(error))
                continue
            try:
                receive(data, Address(*peer))
            except Exception as error:
                if not failed.done():
                    failed.set_exception(error)
                return
