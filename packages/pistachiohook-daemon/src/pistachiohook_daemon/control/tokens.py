"""Bearer tokens of the administration API."""

from __future__ import annotations

import enum
import hmac
from typing import TYPE_CHECKING

import attrs
from pistachiohook_core.failures import Failure
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

if TYPE_CHECKING:
    from pathlib import Path

#: Minimum length of a token, in characters.
TOKEN_LENGTH_MIN = 16

_READ_STEP = 'read tokens'


class Role(enum.Enum):
    """What the bearer of a token may do."""

    #: Read everything.
    READER = 'reader'
    #: Read and change everything.
    OPERATOR = 'operator'


@attrs.frozen
class Token:
    """A token and its bearer.

    :param name: name of the bearer; stands in the log and as the author of
        changes
    :param role: what the bearer may do
    :param secret: the token itself
    """

    name: str
    role: Role
    secret: bytes = attrs.field(repr=False)


def read_tokens(path: Path) -> Result[tuple[Token, ...], Failure]:
    """Read a token file with a line ``name role token`` for each token.

    Empty lines and lines that begin with ``#`` are ignored.

    :param path: the file
    :returns: the tokens; or a failure when the file can't be read, has an
        invalid line or has no token
    """
    try:
        lines = path.read_text('ascii').splitlines()
    except (OSError, ValueError) as error:
        return Failed(Failure(_READ_STEP, str(path), str(error)))
    tokens = []
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith('#'):
            continue
        token = _parse_line(line)
        if token is None:
            reason = (
                f'line {number}: expected a name, reader or operator, and a '
                f'token of at least {TOKEN_LENGTH_MIN} characters'
            )
            return Failed(Failure(_READ_STEP, str(path), reason))
        tokens.append(token)
    if not tokens:
        return Failed(Failure(_READ_STEP, str(path), 'no token found'))
    return Success(tuple(tokens))


def find_token(tokens: tuple[Token, ...], header: str | None) -> Token | None:
    """Return the valid token that an ``Authorization`` header contains.

    The header is compared with every token, each in constant time, so that
    the time taken does not depend on which one matches.

    :param tokens: valid tokens
    :param header: value of the header; ``None`` when it is missing
    """
    scheme, _, secret = (header or '').partition(' ')
    presented = secret.strip().encode()
    matches = [
        token
        for token in tokens
        if hmac.compare_digest(token.secret, presented)
    ]
    if scheme.lower() != 'bearer' or not matches:
        return None
    return matches[0]


def _parse_line(line: str) -> Token | None:
    parts = line.split()
    roles = {role.value: role for role in Role}
    if len(parts) != 3 or parts[1] not in roles:
        return None
    if len(parts[2]) < TOKEN_LENGTH_MIN:
        return None
    return Token(parts[0], roles[parts[1]], parts[2].encode())
