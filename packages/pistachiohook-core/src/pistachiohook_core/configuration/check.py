"""Validation of a whole set of configuration objects."""

from __future__ import annotations

from itertools import chain
from itertools import combinations
import re
from typing import Any
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..addresses import Address
from ..addresses import parse_address
from .objects import Key
from .objects import KINDS
from .objects import list_keys
from .objects import ObjectError
from .objects import ObjectSet
from .objects import PlaceObject
from .objects import PolicyObject
from .objects import RawObject
from .objects import ServiceObject
from .objects import ValueType

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

#: Pattern of the name of an object.
NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')

#: Host by which a service listens on every address of an instance.
WILDCARD_HOST = '0.0.0.0'

#: Pairs of policy keys; the value of the first may not exceed the second's.
ORDERED_LIMITS = (
    ('long_after', 'request_timeout'),
    ('latency_objective', 'request_timeout'),
    ('request_timeout', 'key_lifetime'),
)


@attrs.frozen
class _CheckedObject:
    """An object whose keys have been checked one by one.

    :param raw: the object as it was read
    :param value: the object; an invalid key holds its default or, when it is
        required, an empty value
    :param invalid_keys: names of the invalid keys
    """

    raw: RawObject
    value: Any
    invalid_keys: frozenset[str]

    def make_error(self, key: str, reason: str) -> ObjectError:
        """Return an error for one key of the object."""
        return _make_error(self.raw, key, reason)


def check_objects(
    raws: Sequence[RawObject],
) -> Result[ObjectSet, tuple[ObjectError, ...]]:
    """Check a whole set of objects, including their references.

    :param raws: every object of the set
    :returns: the checked objects, or all errors found
    """
    known = [raw for raw in raws if raw.kind in KINDS]
    checked = [_build_object(raw) for raw in known]
    errors = tuple(
        chain(
            _check_kinds(raws),
            _check_names(known),
            chain.from_iterable(map(_check_keys, known)),
            _check_references(checked, known),
            _check_addresses(_select_kind(checked, ServiceObject)),
            _check_zones(_select_kind(checked, PlaceObject)),
            _check_limits(_select_kind(checked, PolicyObject)),
        )
    )
    if errors:
        return Failed(errors)
    return Success(
        ObjectSet(
            services=_index_by_name(checked, ServiceObject),
            places=_index_by_name(checked, PlaceObject),
            policies=_index_by_name(checked, PolicyObject),
        )
    )


def _make_error(raw: RawObject, key: str, reason: str) -> ObjectError:
    return ObjectError(f'{raw.kind} {raw.name}', key, raw.file, reason)


def _select_kind(
    checked: Iterable[_CheckedObject], kind: type
) -> list[_CheckedObject]:
    return [item for item in checked if isinstance(item.value, kind)]


def _index_by_name(
    checked: Iterable[_CheckedObject], kind: type
) -> dict[str, Any]:
    return {
        item.raw.name: item.value
        for item in sorted(
            _select_kind(checked, kind), key=lambda it: it.raw.name
        )
    }


def _check_kinds(raws: Iterable[RawObject]) -> Iterator[ObjectError]:
    kinds = ', '.join(KINDS)
    return (
        _make_error(raw, '', f'unknown kind of object; known are {kinds}')
        for raw in raws
        if raw.kind not in KINDS
    )


def _check_names(raws: Iterable[RawObject]) -> Iterator[ObjectError]:
    first: dict[tuple[str, str], RawObject] = {}
    for raw in raws:
        if not NAME_PATTERN.fullmatch(raw.name):
            yield _make_error(
                raw,
                '',
                'a name has 1 to 63 lower-case letters, digits and hyphens, '
                'with no hyphen at either end',
            )
        earlier = first.setdefault((raw.kind, raw.name), raw)
        if earlier is not raw:
            yield _make_error(raw, '', f'is also defined in {earlier.file}')


def _check_keys(raw: RawObject) -> Iterator[ObjectError]:
    keys = {key.name: key for key in list_keys(raw.kind)}
    for name in raw.keys:
        if name not in keys:
            known = ', '.join(keys)
            yield _make_error(raw, name, f'unknown key; known are {known}')
    for key in keys.values():
        if key.name in raw.keys:
            yield from _check_value(raw, key, raw.keys[key.name])
        elif key.default is None:
            yield _make_error(raw, key.name, 'the key is required')


def _check_value(raw: RawObject, key: Key, value: Any) -> Iterator[Any]:
    if not _has_type(key.form, value):
        yield _make_error(
            raw, key.name, f'expected {key.form.value}, found {value!r}'
        )
        return
    if key.form in (ValueType.INTEGER, ValueType.NUMBER):
        if not key.low <= value <= key.high:
            yield _make_error(
                raw,
                key.name,
                f'expected {key.low:g} to {key.high:g}, found {value:g}',
            )
    elif key.form is not ValueType.STRING:
        yield from _check_list(raw, key, value)


def _check_list(raw: RawObject, key: Key, value: Any) -> Iterator[Any]:
    if not value and key.default is None:
        yield _make_error(raw, key.name, 'the list is empty')
    repeated = sorted({item for item in value if value.count(item) > 1})
    for item in repeated:
        yield _make_error(raw, key.name, f'{item!r} is listed twice')
    if key.form is ValueType.ADDRESSES:
        for item in value:
            if not _is_service_address(item):
                yield _make_error(
                    raw,
                    key.name,
                    f'expected host:port with an IPv4 address and a port '
                    f'from 1, found {item!r}',
                )


def _is_service_address(text: str) -> bool:
    result = parse_address(text)
    return isinstance(result, Success) and result.unwrap().port > 0


def _has_type(form: ValueType, value: Any) -> bool:
    if form is ValueType.STRING:
        return isinstance(value, str)
    if form is ValueType.INTEGER:
        return isinstance(value, int) and not isinstance(value, bool)
    if form is ValueType.NUMBER:
        return isinstance(value, int | float) and not isinstance(value, bool)
    return isinstance(value, list | tuple) and all(
        isinstance(item, str) for item in value
    )


def _build_object(raw: RawObject) -> _CheckedObject:
    invalid_keys = frozenset(error.key for error in _check_keys(raw))
    keys = list_keys(raw.kind)
    missing = {
        key.name: '' if key.form is ValueType.STRING else ()
        for key in keys
        if key.default is None
    }
    valid = {
        key.name: _convert(key.form, raw.keys[key.name])
        for key in keys
        if key.name in raw.keys and key.name not in invalid_keys
    }
    return _CheckedObject(
        raw, KINDS[raw.kind](**{**missing, **valid}), invalid_keys
    )


def _convert(form: ValueType, value: Any) -> Any:
    if form is ValueType.NUMBER:
        return float(value)
    if form in (ValueType.STRINGS, ValueType.ADDRESSES):
        return tuple(value)
    return value


def _check_references(
    checked: Iterable[_CheckedObject], known: Iterable[RawObject]
) -> Iterator[ObjectError]:
    names = {(raw.kind, raw.name) for raw in known}
    for item in _select_kind(checked, ServiceObject):
        service: ServiceObject = item.value
        policy = service.policy
        if policy and ('policy', policy) not in names:
            yield item.make_error('policy', f'no policy {policy!r}')
        for place in service.places:
            if ('place', place) not in names:
                yield item.make_error('places', f'no place {place!r}')


def _check_addresses(
    services: Iterable[_CheckedObject],
) -> Iterator[ObjectError]:
    """Check for duplicate and overlapping addresses of services.

    Only addresses with the same port are compared, since few share one.
    """
    by_port: dict[int, dict[str, list[_CheckedObject]]] = {}
    for item in services:
        for text in item.value.addresses:
            address = parse_address(text).unwrap()
            hosts = by_port.setdefault(address.port, {})
            hosts.setdefault(address.host, []).append(item)
    for port, hosts in by_port.items():
        yield from _check_port(port, hosts)


def _check_port(
    port: int, hosts: dict[str, list[_CheckedObject]]
) -> Iterator[ObjectError]:
    for host, items in hosts.items():
        for earlier, later in combinations(items, 2):
            yield later.make_error(
                'addresses',
                f'{Address(host, port)} is also an address of service '
                f'{earlier.raw.name} ({earlier.raw.file})',
            )
    for host, items in hosts.items():
        for wildcard in (
            hosts.get(WILDCARD_HOST, ()) if host != WILDCARD_HOST else ()
        ):
            for item in items:
                yield item.make_error(
                    'addresses',
                    f'{Address(host, port)} overlaps '
                    f'{Address(WILDCARD_HOST, port)} of service '
                    f'{wildcard.raw.name} ({wildcard.raw.file})',
                )


def _check_zones(places: Iterable[_CheckedObject]) -> Iterator[ObjectError]:
    first: dict[str, _CheckedObject] = {}
    for item in places:
        for zone in item.value.availability_zones:
            earlier = first.setdefault(zone, item)
            regions = {earlier.value.region, item.value.region}
            if len(regions - {''}) > 1:
                yield item.make_error(
                    'availability_zones',
                    f'{zone!r} is in region {earlier.value.region!r} '
                    f'according to place {earlier.raw.name} '
                    f'({earlier.raw.file})',
                )


def _check_limits(policies: Iterable[_CheckedObject]) -> Iterator[ObjectError]:
    for item in policies:
        for lower_key, upper_key in ORDERED_LIMITS:
            if item.invalid_keys & {lower_key, upper_key}:
                continue
            lower = getattr(item.value, lower_key)
            upper = getattr(item.value, upper_key)
            if lower > upper:
                yield item.make_error(
                    lower_key,
                    f'{lower:g} s exceeds {upper_key} of {upper:g} s',
                )
