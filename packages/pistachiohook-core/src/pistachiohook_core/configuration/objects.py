"""Configuration objects and the definitions of their keys."""

from __future__ import annotations

import enum
from typing import Any

import attrs

#: Metadata key of a field under which its :class:`Key` is stored.
_KEY = 'key'


class ValueType(enum.Enum):
    """Type of the value of a key."""

    STRING = 'string'
    STRINGS = 'list of strings'
    ADDRESSES = 'list of addresses'
    INTEGER = 'integer'
    NUMBER = 'number'


@attrs.frozen
class Key:
    """Definition of one key of a kind of object.

    :param kind: kind of the object
    :param name: name of the key
    :param form: type of the value
    :param unit: unit of the value; empty when it has none
    :param default: value when the key is left out; ``None`` when the key is
        required
    :param low: smallest allowed value, for numbers
    :param high: largest allowed value, for numbers
    :param text: description of the key for the reference page
    """

    kind: str
    name: str
    form: ValueType
    unit: str
    default: Any
    low: float
    high: float
    text: str


def _define_key(
    form: ValueType,
    text: str,
    *,
    unit: str = '',
    default: Any = attrs.NOTHING,
    low: float = 0,
    high: float = 0,
) -> Any:
    key_default = None if default is attrs.NOTHING else default
    key = Key('', '', form, unit, key_default, low, high, text)
    return attrs.field(default=default, metadata={_KEY: key})


@attrs.frozen
class ServiceObject:
    """A service that callers connect to.

    :param addresses: addresses to which callers send, each ``host:port``
    :param policy: name of the policy with its limits
    :param places: names of the places whose targets may announce it; any
        place when empty
    """

    addresses: tuple[str, ...] = _define_key(
        ValueType.ADDRESSES,
        'Addresses to which callers send, each `host:port`.',
    )
    policy: str = _define_key(
        ValueType.STRING, 'Name of the policy object with its limits.'
    )
    places: tuple[str, ...] = _define_key(
        ValueType.STRINGS,
        'Names of the place objects whose targets may announce the '
        'service; any place when empty.',
        default=(),
    )


@attrs.frozen
class PlaceObject:
    """A set of availability zones in one region, where targets run.

    :param region: name of the region
    :param availability_zones: names of its availability zones
    """

    region: str = _define_key(ValueType.STRING, 'Name of the region.')
    availability_zones: tuple[str, ...] = _define_key(
        ValueType.STRINGS, 'Names of the availability zones in the place.'
    )


@attrs.frozen
class PolicyObject:
    """Limits and objectives for the services that name the policy.

    The keys are those of :class:`~pistachiohook_core.published.Service`.
    """

    queue_limit: int = _define_key(
        ValueType.INTEGER,
        'Maximum number of requests queued at one target.',
        unit='requests',
        default=64,
        low=0,
        high=100_000,
    )
    request_timeout: float = _define_key(
        ValueType.NUMBER,
        'Maximum run time of one request.',
        unit='seconds',
        default=30.0,
        low=0.001,
        high=86_400,
    )
    idle_timeout: float = _define_key(
        ValueType.NUMBER,
        'Time without a datagram after which a flow is closed.',
        unit='seconds',
        default=15.0,
        low=1,
        high=86_400,
    )
    long_after: float = _define_key(
        ValueType.NUMBER,
        'Expected run time from which a request counts as long.',
        unit='seconds',
        default=1.0,
        low=0.001,
        high=86_400,
    )
    key_lifetime: float = _define_key(
        ValueType.NUMBER,
        'How long an idempotency key is stored.',
        unit='seconds',
        default=600.0,
        low=1,
        high=604_800,
    )
    latency_objective: float = _define_key(
        ValueType.NUMBER,
        'Latency that the objective allows a request.',
        unit='seconds',
        default=0.5,
        low=0.001,
        high=86_400,
    )
    objective_share: float = _define_key(
        ValueType.NUMBER,
        'Share of the requests that must meet the objectives.',
        unit='share',
        default=0.999,
        low=0.5,
        high=0.999999,
    )


#: Class of each kind of object.
KINDS: dict[str, type[Any]] = {
    'service': ServiceObject,
    'place': PlaceObject,
    'policy': PolicyObject,
}


def list_keys(kind: str) -> tuple[Key, ...]:
    """Return the keys of one kind of object, in order of definition."""
    return tuple(
        attrs.evolve(field.metadata[_KEY], kind=kind, name=field.name)
        for field in attrs.fields(KINDS[kind])
    )


#: All keys of all kinds of objects.
KEYS: tuple[Key, ...] = tuple(key for kind in KINDS for key in list_keys(kind))


@attrs.frozen
class RawObject:
    """An unchecked object, as read from a file.

    :param kind: kind of the object
    :param name: name of the object
    :param file: file that defines it
    :param keys: values by key
    """

    kind: str
    name: str
    file: str
    keys: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ObjectSet:
    """A whole configuration that passed the check.

    :param services: service objects by name
    :param places: place objects by name
    :param policies: policy objects by name
    """

    services: dict[str, ServiceObject] = attrs.field(factory=dict)
    places: dict[str, PlaceObject] = attrs.field(factory=dict)
    policies: dict[str, PolicyObject] = attrs.field(factory=dict)


@attrs.frozen
class ObjectError:
    """An error found in a set of objects.

    :param object: kind and name of the object, such as ``service soapfloor``
    :param key: the invalid key; empty when the error is about the whole object
    :param file: file that defines the object
    :param reason: what was found, and what was expected
    """

    object: str
    key: str
    file: str
    reason: str

    def __str__(self) -> str:
        location = ': '.join(filter(None, (self.file, self.object, self.key)))
        return f'{location}: {self.reason}'
