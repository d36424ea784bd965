"""Properties that an agent derives from a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exchange import RequestExchange

#: Timeout of a request without a valid one of its own, in seconds.
REQUEST_TIMEOUT = 30.0

#: Longest timeout that a request may set, in seconds.
REQUEST_TIMEOUT_MAX = 86_400.0

#: Header field with the time for which the caller waits, in seconds.
TIMEOUT_HEADER = 'request-timeout'


def digest_request(exchange: RequestExchange, body: bytes) -> bytes:
    """Return the digest that identifies the request of a key.

    :param exchange: the request
    :param body: its whole body
    """
    head = f'{exchange.method} {exchange.path}\n'.encode()
    return hashlib.blake2b(head + body, digest_size=16).digest()


def find_route(exchange: RequestExchange) -> str:
    """Return method and first path segment, such as ``POST /orders``."""
    first = exchange.path.split('?')[0].split('/')[1:2]
    return f'{exchange.method} /{"".join(first)}'


def read_timeout(exchange: RequestExchange) -> float:
    """Return the timeout of a request, in seconds."""
    text = exchange.find_header(TIMEOUT_HEADER)
    try:
        found = float(text) if text else REQUEST_TIMEOUT
    except ValueError:
        found = REQUEST_TIMEOUT
    within = 0.0 <= found <= REQUEST_TIMEOUT_MAX
    return found if within else REQUEST_TIMEOUT


def read_length(exchange: RequestExchange) -> int:
    """Return the length of the body, in bytes; 0 when it is unknown."""
    text = exchange.find_header('content-length') or ''
    return int(text) if text.isascii() and text.isdigit() else 0
