"""Reading of the stand-ins' settings files."""

from __future__ import annotations

from pathlib import Path
import tomllib
from typing import TypeVar

import msgspec
from pistachiohook_core.addresses import parse_address
from returns.result import Success

#: Host and port, in the form that the socket module uses.
Endpoint = tuple[str, int]

Kind = TypeVar('Kind')


def read_settings(path: Path, kind: type[Kind]) -> Kind:
    """Read a TOML file as an attrs class.

    :param path: path of the file
    :param kind: attrs class whose attributes are the keys of the file
    :raises SystemExit: when the file can't be read or doesn't match the class
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), kind)
    except (OSError, ValueError) as error:
        raise SystemExit(f'{path}: {error}') from error


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address of the form ``host:port``.

    :raises SystemExit: when the text has another form
    """
    match parse_address(text):
        case Success(address):
            return address.host, address.port
        case failed:
            raise SystemExit(str(failed.failure()))
