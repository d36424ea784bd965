"""Settings files of the stand-ins."""

from __future__ import annotations

from pathlib import Path
import tomllib
from typing import TypeVar

import msgspec
from pistachiohook_core.addresses import parse_address
from returns.result import Success

#: Host and port, as sockets take them.
Endpoint = tuple[str, int]

Kind = TypeVar('Kind')


def read_settings(path: Path, kind: type[Kind]) -> Kind:
    """Read a TOML file into an attrs class.

    :param path: the file
    :param kind: class of the whole file
    :raises SystemExit: when the file can't be read or doesn't fit
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), kind)
    except (OSError, ValueError) as error:
        raise SystemExit(f'{path}: {error}') from error


def parse_endpoint(text: str) -> Endpoint:
    """Read ``host:port`` as sockets take it.

    :raises SystemExit: when it is not an address
    """
    match parse_address(text):
        case Success(address):
            return address.host, address.port
        case failed:
            raise SystemExit(str(failed.failure()))
