"""What an agent reads off a request."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exchange import RequestExchange

#: Time that a request has when it names none, in seconds.
REQUEST_TIMEOUT = 30.0

#: Longest time that a request may ask for, in seconds.
REQUEST_TIMEOUT_MAX = 86_400.0

#: Header field with the seconds that a caller still waits.
TIMEOUT_HEADER = 'request-timeout'


def digest_request(exchange: RequestExchange, body: bytes) -> bytes:
    """Return the digest that ties a key to one request."""
    head = f'{exchange.method} {exchange.path}\n'.encode()
    return hashlib.blake2b(head + body, digest_size=16).digest()


def find_route(exchange: RequestExchange) -> str:
    """Return method and first part of the path, as ``POST /orders``."""
    first = exchange.path.split('?')[0].split('/')[1:2]
    return f'{exchange.method} /{"".join(first)}'


def read_timeout(exchange: RequestExchange) -> float:
    """Return how long the caller waits, in seconds."""
    text = exchange.find_header(TIMEOUT_HEADER)
    try:
        found = float(text) if text else REQUEST_TIMEOUT
    except ValueError:
        found = REQUEST_TIMEOUT
    within = 0.0 <= found <= REQUEST_TIMEOUT_MAX
    return found if within else REQUEST_TIMEOUT


def read_length(exchange: RequestExchange) -> int:
    """Return the length of the body, in bytes; 0 when it is not told."""
    text = exchange.find_header('content-length') or ''
    return int(text) if text.isascii() and text.isdigit() else 0
