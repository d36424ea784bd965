"""IPv4 socket addresses."""

from __future__ import annotations

import ipaddress
import struct

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from .failures import Failure

#: Length of a packed address, in bytes: four for the host, two for the port.
PACKED_LENGTH = 6

#: Largest port number.
PORT_MAX = 65535

_PACKED = struct.Struct('!4BH')


@attrs.frozen(order=True)
class Address:
    """An IPv4 address and a port.

    :param host: IPv4 address in dotted decimal; host names are not accepted
    :param port: port number
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Result[Address, Failure]:
    """Parse an address of the form ``host:port``.

    :param text: text from a settings file or a command line
    :returns: the address, or a failure that quotes the text
    """
    host, colon, digits = text.rpartition(':')
    port = _parse_port(digits)
    if not colon or not _is_ipv4_address(host) or port is None:
        return Failed(
            Failure(
                step='read address',
                peer=text,
                reason='expected an IPv4 address and a port,'
                ' such as 127.0.0.1:443',
            )
        )
    return Success(Address(host, port))


def pack_address(address: Address) -> bytes:
    """Encode an address in :data:`PACKED_LENGTH` bytes.

    :raises ValueError: when it is not an IPv4 address and a port
    """
    try:
        return _PACKED.pack(*map(int, address.host.split('.')), address.port)
    except struct.error as error:
        raise ValueError(f'{address} is not an address: {error}') from error


def unpack_address(packed: bytes) -> Address:
    """Decode an address that :func:`pack_address` has encoded.

    :raises struct.error: when the length is not :data:`PACKED_LENGTH`
    """
    *host, port = _PACKED.unpack(packed)
    return Address('.'.join(map(str, host)), port)


def _is_ipv4_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _parse_port(digits: str) -> int | None:
    """Return the port that all digits together name, if there is one."""
    if not (digits.isascii() and digits.isdigit()):
        return None
    # int() refuses numbers with thousands of digits.
    significant = digits.lstrip('0') or '0'
    if len(significant) > len(str(PORT_MAX)):
        return None
    port = int(significant)
    return port if port <= PORT_MAX else None
