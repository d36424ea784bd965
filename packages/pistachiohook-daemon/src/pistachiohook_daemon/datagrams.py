"""UDP sockets that are owned by a task."""

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

#: Datagrams that a socket hands on before other tasks get their turn, unless
#: it is told otherwise.
BATCH = 64

#: Longest datagram, in bytes.
DATAGRAM_MAX = 65535

#: Buffer that is asked of the kernel in each direction, in bytes.
SOCKET_BUFFER = 4 * 1024 * 1024


@attrs.define
class DatagramSocket:
    """State of one bound UDP socket.

    :param bind: address to bind; port 0 lets the system choose
    :param report: logs an event
    :param batch: datagrams that are taken before other tasks get their turn
    """

    bind: Address
    report: Report
    batch: int = BATCH
    _socket: socket.socket | None = None

    def open(self) -> Address:
        """Bind the socket and return its address.

        :raises OSError: when the address cannot be bound
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER)
        opened.bind((self.bind.host, self.bind.port))
        self._socket = opened
        self.bind = Address(*opened.getsockname())
        return self.bind

    def send(self, data: bytes, address: Address) -> bool:
        """Send one datagram; a full buffer drops it, as a network would.

        :returns: whether the system took it
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
        """Hand on what arrives until cancelled, then close.

        :param receive: takes each datagram and where it came from
        :raises OSError: when the address cannot be bound again
        """
        if self._socket is None:
            self.open()
        assert self._socket is not None
        failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._take_batch, receive, failed)
        try:
            await failed
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _take_batch(
        self,
        receive: Callable[[bytes, Address], None],
        failed: asyncio.Future[None],
    ) -> None:
        assert self._socket is not None
        for _ in range(self.batch):
            try:
                data, peer = self._socket.recvfrom(DATAGRAM_MAX)
            except BlockingIOError:
                return
            except ConnectionRefusedError as error:
                # An earlier datagram has reached nobody.
                self.report(DATAGRAM_DROPPED, reason=str(error))
                continue
            try:
                receive(data, Address(*peer))
            except Exception as error:
                if not failed.done():
                    failed.set_exception(error)
                return
