"""Checked reading of TOML tables into attrs classes."""

from __future__ import annotations

import itertools
import tomllib
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from .addresses import Address
from .addresses import parse_address
from .failures import Failure

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from pathlib import Path

T = TypeVar('T')

_METADATA = 'pistachiohook.key'


@attrs.frozen
class Key:
    """What is known of one key of a table.

    :param kind: ``text``, ``count``, ``number``, ``flag``, ``address``,
        ``addresses``, ``texts``, ``table`` or ``tables``
    :param text: what the key means
    :param unit: unit of the value, empty when it has none
    :param low: smallest value
    :param high: largest value
    :param choices: the only values, when they are few
    :param table: class of the nested table or tables
    """

    kind: str
    text: str
    unit: str = ''
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    table: type | None = None


def key(
    kind: str, text: str, default: Any = attrs.NOTHING, **more: Any
) -> Any:
    """Declare one key of a table as an attrs field.

    :param kind: see :class:`Key`
    :param text: what the key means
    :param default: value of a missing key; without one it must be there
    """
    return attrs.field(
        default=default, metadata={_METADATA: Key(kind, text, **more)}
    )


def list_keys(table: type) -> list[tuple[attrs.Attribute[Any], Key]]:
    """Return the keys of a table class, in their order."""
    return [
        (field, field.metadata[_METADATA])
        for field in attrs.fields(table)
        if _METADATA in field.metadata
    ]


def read_file(path: Path, table: type[T]) -> Result[T, tuple[Failure, ...]]:
    """Read a TOML file into a table class.

    :param path: the file
    :param table: attrs class whose fields were declared with :func:`key`
    :returns: the table, or every failure at once, each with file and key
    """
    try:
        found = tomllib.loads(path.read_text('utf-8'))
    except OSError as error:
        reason = f'cannot be read: {error.strerror}'
        return Failed((Failure('read file', str(path), reason),))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        reason = f'is not TOML: {error}'
        return Failed((Failure('read file', str(path), reason),))
    return read_table(found, table, str(path))


def read_table(
    found: Mapping[str, Any], table: type[T], peer: str, prefix: str = ''
) -> Result[T, tuple[Failure, ...]]:
    """Read what TOML gave into a table class.

    :param found: the table as the TOML library returns it
    :param table: attrs class whose fields were declared with :func:`key`
    :param peer: file that it comes from
    :param prefix: path of the table in the file, with a dot at its end
    """
    keys = list_keys(table)
    values = {
        field.name: _read_value(
            found[field.name], known, peer, prefix + field.name
        )
        for field, known in keys
        if field.name in found
    }
    failures = [
        *_find_unknown(found, keys, peer, prefix),
        *_find_missing(found, keys, peer, prefix),
        *itertools.chain.from_iterable(
            value.failure()
            for value in values.values()
            if isinstance(value, Failed)
        ),
    ]
    if failures:
        return Failed(tuple(failures))
    return Success(
        table(**{name: value.unwrap() for name, value in values.items()})
    )


def _find_unknown(
    found: Mapping[str, Any],
    keys: list[tuple[attrs.Attribute[Any], Key]],
    peer: str,
    prefix: str,
) -> Iterator[Failure]:
    names = [field.name for field, _ in keys]
    for name in found:
        if name not in names:
            expected = f'unknown key; expected one of {", ".join(names)}'
            yield _fail(peer, prefix + name, expected)


def _find_missing(
    found: Mapping[str, Any],
    keys: list[tuple[attrs.Attribute[Any], Key]],
    peer: str,
    prefix: str,
) -> Iterator[Failure]:
    for field, known in keys:
        if field.default is attrs.NOTHING and field.name not in found:
            reason = f'missing; expected {describe_key(known)}'
            yield _fail(peer, prefix + field.name, reason)


def describe_key(known: Key) -> str:
    """Say which values a key takes."""
    if known.choices:
        return f'one of {", ".join(known.choices)}'
    bounds = ''
    if known.low is not None and known.high is not None:
        bounds = f' from {known.low:g} to {known.high:g}'
    unit = f' of {known.unit}' if known.unit else ''
    return f'{_NOUNS[known.kind]}{unit}{bounds}'


_NOUNS = {
    'text': 'a text',
    'count': 'a whole number',
    'number': 'a number',
    'flag': 'true or false',
    'address': 'an address as 127.0.0.1:443',
    'addresses': 'a list of addresses as 127.0.0.1:443',
    'texts': 'a list of texts',
    'table': 'a table',
    'tables': 'a list of tables',
}


def _fail(peer: str, name: str, reason: str) -> Failure:
    return Failure(f'read key {name}', peer, reason)


def _read_value(
    value: Any, known: Key, peer: str, name: str
) -> Result[Any, tuple[Failure, ...]]:
    if known.table is not None:
        return _read_nested(value, known, known.table, peer, name)
    converted = _convert(value, known)
    if converted is None:
        reason = f'found {value!r}; expected {describe_key(known)}'
        return Failed((_fail(peer, name, reason),))
    return Success(converted)


def _read_nested(
    value: Any, known: Key, table: type, peer: str, name: str
) -> Result[Any, tuple[Failure, ...]]:
    tables = value if known.kind == 'tables' else [value]
    if not isinstance(tables, list) or not all(
        isinstance(one, dict) for one in tables
    ):
        reason = f'found {value!r}; expected {describe_key(known)}'
        return Failed((_fail(peer, name, reason),))
    if known.kind == 'table':
        return read_table(value, table, peer, f'{name}.')
    read: list[Result[Any, tuple[Failure, ...]]] = [
        read_table(one, table, peer, f'{name}[{index}].')
        for index, one in enumerate(tables)
    ]
    failures = tuple(
        itertools.chain.from_iterable(
            one.failure() for one in read if isinstance(one, Failed)
        )
    )
    if failures:
        return Failed(failures)
    return Success(tuple(one.unwrap() for one in read))


def _convert(value: Any, known: Key) -> Any:
    return _CONVERTERS[known.kind](value, known)


def _convert_text(value: Any, known: Key) -> str | None:
    if not isinstance(value, str) or not value:
        return None
    return value if not known.choices or value in known.choices else None


def _convert_texts(value: Any, known: Key) -> tuple[str, ...] | None:
    if not isinstance(value, list):
        return None
    converted = (_convert_text(one, known) for one in value)
    texts = tuple(one for one in converted if one is not None)
    return texts if len(texts) == len(value) else None


def _convert_count(value: Any, known: Key) -> int | None:
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if _is_within(value, known) else None


def _convert_number(value: Any, known: Key) -> float | None:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    return float(value) if _is_within(value, known) else None


def _convert_flag(value: Any, known: Key) -> bool | None:
    del known
    return value if isinstance(value, bool) else None


def _convert_address(value: Any, known: Key) -> Address | None:
    del known
    if not isinstance(value, str):
        return None
    return parse_address(value).value_or(None)


def _convert_addresses(value: Any, known: Key) -> tuple[Address, ...] | None:
    if not isinstance(value, list) or not value:
        return None
    converted = (_convert_address(one, known) for one in value)
    addresses = tuple(one for one in converted if one is not None)
    return addresses if len(addresses) == len(value) else None


def _is_within(value: float, known: Key) -> bool:
    low = -float('inf') if known.low is None else known.low
    high = float('inf') if known.high is None else known.high
    return low <= value <= high


_CONVERTERS = {
    'text': _convert_text,
    'texts': _convert_texts,
    'count': _convert_count,
    'number': _convert_number,
    'flag': _convert_flag,
    'address': _convert_address,
    'addresses': _convert_addresses,
}
