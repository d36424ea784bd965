"""Joint check of a whole set of objects."""

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
from .objects import Form
from .objects import Key
from .objects import KINDS
from .objects import list_keys
from .objects import ObjectError
from .objects import ObjectSet
from .objects import PlaceObject
from .objects import PolicyObject
from .objects import RawObject
from .objects import ServiceObject

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

#: What an object may be called.
NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')

#: Host that stands for every address of an instance.
HOST_ANY = '0.0.0.0'

#: Pairs of policy keys of which the first may not exceed the second.
ORDERED_LIMITS = (
    ('long_after', 'request_timeout'),
    ('latency_objective', 'request_timeout'),
    ('request_timeout', 'key_lifetime'),
)


@attrs.frozen
class _Checked:
    """An object with those of its values that are good by themselves.

    :param raw: the object as it was read
    :param value: a key at fault holds its default, or nothing
    :param faulty: keys at fault
    """

    raw: RawObject
    value: Any
    faulty: frozenset[str]

    def refuse(self, key: str, reason: str) -> ObjectError:
        """Return an error at one key of the object."""
        return _refuse(self.raw, key, reason)


def check_objects(
    raws: Sequence[RawObject],
) -> Result[ObjectSet, tuple[ObjectError, ...]]:
    """Check a whole set together.

    :param raws: every object of the set
    :returns: the set, or every error that it has
    """
    known = [raw for raw in raws if raw.kind in KINDS]
    checked = [_build_object(raw) for raw in known]
    errors = tuple(
        chain(
            _check_kinds(raws),
            _check_names(known),
            chain.from_iterable(map(_check_keys, known)),
            _check_references(checked, known),
            _check_addresses(_pick(checked, ServiceObject)),
            _check_zones(_pick(checked, PlaceObject)),
            _check_limits(_pick(checked, PolicyObject)),
        )
    )
    if errors:
        return Failed(errors)
    return Success(
        ObjectSet(
            services=_collect(checked, ServiceObject),
            places=_collect(checked, PlaceObject),
            policies=_collect(checked, PolicyObject),
        )
    )


def _refuse(raw: RawObject, key: str, reason: str) -> ObjectError:
    return ObjectError(f'{raw.kind} {raw.name}', key, raw.file, reason)


def _pick(checked: Iterable[_Checked], kind: type) -> list[_Checked]:
    return [item for item in checked if isinstance(item.value, kind)]


def _collect(checked: Iterable[_Checked], kind: type) -> dict[str, Any]:
    return {
        item.raw.name: item.value
        for item in sorted(_pick(checked, kind), key=lambda it: it.raw.name)
    }


def _check_kinds(raws: Iterable[RawObject]) -> Iterator[ObjectError]:
    kinds = ', '.join(KINDS)
    return (
        _refuse(raw, '', f'unknown kind of object; known are {kinds}')
        for raw in raws
        if raw.kind not in KINDS
    )


def _check_names(raws: Iterable[RawObject]) -> Iterator[ObjectError]:
    first: dict[tuple[str, str], RawObject] = {}
    for raw in raws:
        if not NAME_PATTERN.fullmatch(raw.name):
            yield _refuse(
                raw,
                '',
                'a name has 1 to 63 lower-case letters, digits and inner '
                'hyphens',
            )
        earlier = first.setdefault((raw.kind, raw.name), raw)
        if earlier is not raw:
            yield _refuse(raw, '', f'stands in {earlier.file} too')


def _check_keys(raw: RawObject) -> Iterator[ObjectError]:
    keys = {key.name: key for key in list_keys(raw.kind)}
    for name in raw.keys:
        if name not in keys:
            known = ', '.join(keys)
            yield _refuse(raw, name, f'unknown key; known are {known}')
    for key in keys.values():
        if key.name in raw.keys:
            yield from _check_value(raw, key, raw.keys[key.name])
        elif key.default is None:
            yield _refuse(raw, key.name, 'the key is required')


def _check_value(raw: RawObject, key: Key, value: Any) -> Iterator[Any]:
    if not _has_form(key.form, value):
        yield _refuse(
            raw, key.name, f'expected {key.form.value}, found {value!r}'
        )
        return
    if key.form in (Form.INTEGER, Form.NUMBER):
        if not key.low <= value <= key.high:
            yield _refuse(
                raw,
                key.name,
                f'expected {key.low:g} to {key.high:g}, found {value:g}',
            )
    elif key.form is not Form.STRING:
        yield from _check_list(raw, key, value)


def _check_list(raw: RawObject, key: Key, value: Any) -> Iterator[Any]:
    if not value and key.default is None:
        yield _refuse(raw, key.name, 'the list is empty')
    repeated = sorted({item for item in value if value.count(item) > 1})
    for item in repeated:
        yield _refuse(raw, key.name, f'{item!r} stands there twice')
    if key.form is Form.ADDRESSES:
        for item in value:
            if not _is_service_address(item):
                yield _refuse(
                    raw,
                    key.name,
                    f'expected host:port with an IPv4 number and a port '
                    f'from 1, found {item!r}',
                )


def _is_service_address(text: str) -> bool:
    result = parse_address(text)
    return isinstance(result, Success) and result.unwrap().port > 0


def _has_form(form: Form, value: Any) -> bool:
    if form is Form.STRING:
        return isinstance(value, str)
    if form is Form.INTEGER:
        return isinstance(value, int) and not isinstance(value, bool)
    if form is Form.NUMBER:
        return isinstance(value, int | float) and not isinstance(value, bool)
    return isinstance(value, list | tuple) and all(
        isinstance(item, str) for item in value
    )


def _build_object(raw: RawObject) -> _Checked:
    faulty = frozenset(error.key for error in _check_keys(raw))
    keys = list_keys(raw.kind)
    missing = {
        key.name: '' if key.form is Form.STRING else ()
        for key in keys
        if key.default is None
    }
    good = {
        key.name: _convert(key.form, raw.keys[key.name])
        for key in keys
        if key.name in raw.keys and key.name not in faulty
    }
    return _Checked(raw, KINDS[raw.kind](**{**missing, **good}), faulty)


def _convert(form: Form, value: Any) -> Any:
    if form is Form.NUMBER:
        return float(value)
    if form in (Form.STRINGS, Form.ADDRESSES):
        return tuple(value)
    return value


def _check_references(
    checked: Iterable[_Checked], known: Iterable[RawObject]
) -> Iterator[ObjectError]:
    names = {(raw.kind, raw.name) for raw in known}
    for item in _pick(checked, ServiceObject):
        service: ServiceObject = item.value
        policy = service.policy
        if policy and ('policy', policy) not in names:
            yield item.refuse('policy', f'no policy {policy!r}')
        for place in service.places:
            if ('place', place) not in names:
                yield item.refuse('places', f'no place {place!r}')


def _check_addresses(services: Iterable[_Checked]) -> Iterator[ObjectError]:
    """Compare only addresses of one port: at most a few share it."""
    by_port: dict[int, dict[str, list[_Checked]]] = {}
    for item in services:
        for text in item.value.addresses:
            address = parse_address(text).unwrap()
            hosts = by_port.setdefault(address.port, {})
            hosts.setdefault(address.host, []).append(item)
    for port, hosts in by_port.items():
        yield from _check_port(port, hosts)


def _check_port(
    port: int, hosts: dict[str, list[_Checked]]
) -> Iterator[ObjectError]:
    for host, items in hosts.items():
        for earlier, later in combinations(items, 2):
            yield later.refuse(
                'addresses',
                f'{Address(host, port)} is an address of service '
                f'{earlier.raw.name} ({earlier.raw.file}) too',
            )
    for host, items in hosts.items():
        for wide in hosts.get(HOST_ANY, ()) if host != HOST_ANY else ():
            for item in items:
                yield item.refuse(
                    'addresses',
                    f'{Address(host, port)} overlaps '
                    f'{Address(HOST_ANY, port)} of service '
                    f'{wide.raw.name} ({wide.raw.file})',
                )


def _check_zones(places: Iterable[_Checked]) -> Iterator[ObjectError]:
    first: dict[str, _Checked] = {}
    for item in places:
        for zone in item.value.availability_zones:
            earlier = first.setdefault(zone, item)
            regions = {earlier.value.region, item.value.region}
            if len(regions - {''}) > 1:
                yield item.refuse(
                    'availability_zones',
                    f'{zone!r} is in region {earlier.value.region!r} by '
                    f'place {earlier.raw.name} ({earlier.raw.file})',
                )


def _check_limits(policies: Iterable[_Checked]) -> Iterator[ObjectError]:
    for item in policies:
        for low, high in ORDERED_LIMITS:
            if item.faulty & {low, high}:
                continue
            lower = getattr(item.value, low)
            upper = getattr(item.value, high)
            if lower > upper:
                yield item.refuse(
                    low, f'{lower:g} s exceeds {high} of {upper:g} s'
                )
