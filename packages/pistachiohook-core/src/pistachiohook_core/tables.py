"""Validation of TOML tables and their conversion to attrs classes."""

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
    """Declaration of one key of a table.

    :param kind: type of the value: ``text``, ``count``, ``number``, ``flag``,
        ``address``, ``addresses``, ``texts``, ``table`` or ``tables``
    :param text: meaning of the key, for the manual
    :param unit: unit of the value; empty without one
    :param low: smallest value; None without a limit
    :param high: largest value; None without a limit
    :param choices: all allowed texts; empty when any text is allowed
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

    :param kind: type of the value, as in :class:`Key`
    :param text: meaning of the key
    :param default: value of a missing key; a key without a default is required
    :param more: other fields of :class:`Key`
    """
    return attrs.field(
        default=default, metadata={_METADATA: Key(kind, text, **more)}
    )


def list_keys(table: type) -> list[tuple[attrs.Attribute[Any], Key]]:
    """Return the fields of a table class that declare a key, in order."""
    return [
        (field, field.metadata[_METADATA])
        for field in attrs.fields(table)
        if _METADATA in field.metadata
    ]


def read_file(path: Path, table: type[T]) -> Result[T, tuple[Failure, ...]]:
    """Read a TOML file into a table class.

    :param path: path of the file
    :param table: attrs class whose fields were declared with :func:`key`
    :returns: an instance of the class, or all failures, each with file and key
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
    """Convert a parsed TOML table to a table class.

    :param found: table, as parsed by the TOML library
    :param table: attrs class whose fields were declared with :func:`key`
    :param peer: file that contains the table
    :param prefix: path of the table in the file, ending in a dot; empty for
        the top level
    :returns: an instance of the class, or all failures
    """
    keys = list_keys(table)
    values = {
        field.name: _read_value(
            found[field.name], declared, peer, prefix + field.name
        )
        for field, declared in keys
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
            yield _make_failure(peer, prefix + name, expected)


def _find_missing(
    found: Mapping[str, Any],
    keys: list[tuple[attrs.Attribute[Any], Key]],
    peer: str,
    prefix: str,
) -> Iterator[Failure]:
    for field, declared in keys:
        if field.default is attrs.NOTHING and field.name not in found:
            reason = f'missing; expected {describe_key(declared)}'
            yield _make_failure(peer, prefix + field.name, reason)


def describe_key(declared: Key) -> str:
    """Describe the values that a key accepts."""
    if declared.choices:
        return f'one of {", ".join(declared.choices)}'
    bounds = ''
    if declared.low is not None and declared.high is not None:
        bounds = f' from {declared.low:g} to {declared.high:g}'
    unit = f' of {declared.unit}' if declared.unit else ''
    return f'{_VALUE_DESCRIPTIONS[declared.kind]}{unit}{bounds}'


#: Description of the values of each kind.
_VALUE_DESCRIPTIONS = {
    'text': 'a text',
    'count': 'an integer',
    'number': 'a number',
    'flag': 'true or false',
    'address': 'an address such as 127.0.0.1:443',
    'addresses': 'a list of addresses such as 127.0.0.1:443',
    'texts': 'a list of texts',
    'table': 'a table',
    'tables': 'a list of tables',
}


def _make_failure(peer: str, name: str, reason: str) -> Failure:
    return Failure(f'read key {name}', peer, reason)


def _read_value(
    value: Any, declared: Key, peer: str, name: str
) -> Result[Any, tuple[Failure, ...]]:
    if declared.table is not None:
        return _read_nested(value, declared, declared.table, peer, name)
    converted = _convert(value, declared)
    if converted is None:
        reason = f'found {value!r}; expected {describe_key(declared)}'
        return Failed((_make_failure(peer, name, reason),))
    return Success(converted)


def _read_nested(
    value: Any, declared: Key, table: type, peer: str, name: str
) -> Result[Any, tuple[Failure, ...]]:
    tables = value if declared.kind == 'tables' else [value]
    if not isinstance(tables, list) or not all(
        isinstance(one, dict) for one in tables
    ):
        reason = f'found {value!r}; expected {describe_key(declared)}'
        return Failed((_make_failure(peer, name, reason),))
    if declared.kind == 'table':
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


def _convert(value: Any, declared: Key) -> Any:
    return _CONVERTERS[declared.kind](value, declared)


def _convert_text(value: Any, declared: Key) -> str | None:
    if not isinstance(value, str) or not value:
        return None
    return value if not declared.choices or value in declared.choices else None


def _convert_texts(value: Any, declared: Key) -> tuple[str, ...] | None:
    if not isinstance(value, list):
        return None
    converted = (_convert_text(one, declared) for one in value)
    texts = tuple(one for one in converted if one is not None)
    return texts if len(texts) == len(value) else None


def _convert_count(value: Any, declared: Key) -> int | None:
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if _is_within(value, declared) else None


def _convert_number(value: Any, declared: Key) -> float | None:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    return float(value) if _is_within(value, declared) else None


def _convert_flag(value: Any, declared: Key) -> bool | None:
    del declared
    return value if isinstance(value, bool) else None


def _convert_address(value: Any, declared: Key) -> Address | None:
    del declared
    if not isinstance(value, str):
        return None
    return parse_address(value).value_or(None)


def _convert_addresses(
    value: Any, declared: Key
) -> tuple[Address, ...] | None:
    if not isinstance(value, list) or not value:
        return None
    converted = (_convert_address(one, declared) for one in value)
    addresses = tuple(one for one in converted if one is not None)
    return addresses if len(addresses) == len(value) else None


def _is_within(value: float, declared: Key) -> bool:
    low = -float('inf') if declared.low is None else declared.low
    high = float('inf') if declared.high is None else declared.high
    return low <= value <= high


#: Function for each kind that converts a value, or returns None if it is not
#: valid.
_CONVERTERS = {
    'text': _convert_text,
    'texts': _convert_texts,
    'count': _convert_count,
    'number': _convert_number,
    'flag': _convert_flag,
    'address': _convert_address,
    'addresses': _convert_addresses,
}
