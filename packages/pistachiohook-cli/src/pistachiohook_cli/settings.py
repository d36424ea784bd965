"""Settings file of the command line."""

from __future__ import annotations

from pathlib import Path

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.failures import Failure
from pistachiohook_core.tables import key
from pistachiohook_core.tables import read_file
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

#: Environment variable that names the settings file.
SETTINGS_VARIABLE = 'PISTACHIOHOOK_SETTINGS'

#: Default settings file, if neither an option nor the variable names one.
SETTINGS_FILE = 'pistachiohook.toml'


@attrs.frozen
class Settings:
    """Addresses of the administration API, and the token for it."""

    api: tuple[Address, ...] = key(
        'addresses', 'administration API of each control instance'
    )
    token_file: str = key('text', 'file with the bearer token, one line')
    timeout: float = key(
        'number',
        'timeout of a request to one control instance',
        10.0,
        unit='seconds',
        low=0.1,
        high=600,
    )


@attrs.frozen
class Access:
    """What requests to the administration API need.

    :param api: address of the API of each control instance
    :param token: bearer token
    :param timeout: timeout of a request to one control instance, in seconds
    """

    api: tuple[Address, ...]
    token: str = attrs.field(repr=False)
    timeout: float


def read_access(path: Path) -> Result[Access, tuple[Failure, ...]]:
    """Read the settings file and the token file that it names.

    :param path: the settings file; a relative path of the token file starts
        at its folder
    """
    return read_file(path, Settings).bind(
        lambda settings: _read_token(settings, path)
    )


def _read_token(
    settings: Settings, path: Path
) -> Result[Access, tuple[Failure, ...]]:
    file = path.parent / settings.token_file
    step = 'read token'
    try:
        token = file.read_text('ascii').strip()
    except (OSError, ValueError) as error:
        return Failed((Failure(step, str(file), str(error)),))
    if not token or not token.isprintable() or ' ' in token:
        return Failed((Failure(step, str(file), 'expected one token'),))
    return Success(Access(settings.api, token, settings.timeout))
