"""Options that commands share."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated
from typing import TypeVar

import attrs
from cyclopts import Parameter
from pistachiohook_core.configuration.documents import Problem
from returns.result import Failure as Failed
from returns.result import Result

from .client import Request
from .client import send
from .output import warn
from .settings import Access
from .settings import read_access
from .settings import SETTINGS_FILE
from .settings import SETTINGS_VARIABLE

_Document = TypeVar('_Document')


class BadInputError(Exception):
    """The user's input is invalid; its errors are already printed."""


@Parameter(name='*')
@attrs.frozen
class Options:
    """Options of every command that uses the administration API.

    :param json: print JSON instead of tables
    :param settings: TOML file with ``api`` and ``token_file``; the default is
        the variable PISTACHIOHOOK_SETTINGS or else pistachiohook.toml
    """

    json: Annotated[bool, Parameter(negative='')] = False
    settings: Path | None = None

    def send(
        self, request: Request, kind: type[_Document]
    ) -> Result[_Document, Problem]:
        """Send a request to the administration API.

        :param request: the request
        :param kind: class of the document in the response
        :raises BadInputError: when the settings are invalid
        """
        return send(self.read_access(), request, kind)

    def read_access(self) -> Access:
        """Read the settings and the token.

        :raises BadInputError: when the settings are invalid
        """
        default = os.environ.get(SETTINGS_VARIABLE, SETTINGS_FILE)
        access = read_access(self.settings or Path(default))
        if isinstance(access, Failed):
            for failure in access.failure():
                warn(failure)
            raise BadInputError
        return access.unwrap()
