"""Configuration objects, and the registry of their keys."""

from __future__ import annotations

import enum
from typing import Any

import attrs

#: Metadata key under which a field keeps its :class:`Key`.
_KEY = 'key'


class Form(enum.Enum):
    """How the value of a key is written."""

    STRING = 'string'
    STRINGS = 'list of strings'
    ADDRESSES = 'list of addresses'
    INTEGER = 'integer'
    NUMBER = 'number'


@attrs.frozen
class Key:
    """One key of a kind of object.

    :param kind: kind of the object
    :param name: name of the key
    :param form: how the value is written
    :param unit: unit of the value; empty when it has none
    :param default: value when the key is left out; ``None`` when required
    :param low: smallest value allowed, for numbers
    :param high: largest value allowed, for numbers
    :param text: what the key is for
    """

    kind: str
    name: str
    form: Form
    unit: str
    default: Any
    low: float
    high: float
    text: str


def _describe(
    form: Form,
    text: str,
    *,
    unit: str = '',
    default: Any = attrs.NOTHING,
    low: float = 0,
    high: float = 0,
) -> Any:
    shown = None if default is attrs.NOTHING else default
    key = Key('', '', form, unit, shown, low, high, text)
    return attrs.field(default=default, metadata={_KEY: key})


@attrs.frozen
class ServiceObject:
    """A service that callers reach.

    :param addresses: where callers send, each ``host:port``
    :param policy: name of the policy that limits it
    :param places: names of the places whose targets may announce it
    """

    addresses: tuple[str, ...] = _describe(
        Form.ADDRESSES, 'Where callers send, each `host:port`.'
    )
    policy: str = _describe(
        Form.STRING, 'Name of the policy object with its limits.'
    )
    places: tuple[str, ...] = _describe(
        Form.STRINGS,
        'Names of the place objects whose targets may announce the '
        'service; any place when empty.',
        default=(),
    )


@attrs.frozen
class PlaceObject:
    """A part of the world where targets run.

    :param region: name of the region
    :param availability_zones: names of its availability zones
    """

    region: str = _describe(Form.STRING, 'Name of the region.')
    availability_zones: tuple[str, ...] = _describe(
        Form.STRINGS, 'Names of the availability zones in the place.'
    )


@attrs.frozen
class PolicyObject:
    """Limits and objectives that services share.

    The keys are those of :class:`~pistachiohook_core.published.Service`.
    """

    queue_limit: int = _describe(
        Form.INTEGER,
        'Most requests that wait at one target.',
        unit='requests',
        default=64,
        low=0,
        high=100_000,
    )
    request_timeout: float = _describe(
        Form.NUMBER,
        'Longest run of one request.',
        unit='seconds',
        default=30.0,
        low=0.001,
        high=86_400,
    )
    idle_timeout: float = _describe(
        Form.NUMBER,
        'Silence after which a flow is closed.',
        unit='seconds',
        default=15.0,
        low=1,
        high=86_400,
    )
    long_after: float = _describe(
        Form.NUMBER,
        'Expected run time from which a request counts as long.',
        unit='seconds',
        default=1.0,
        low=0.001,
        high=86_400,
    )
    key_lifetime: float = _describe(
        Form.NUMBER,
        'How long an idempotency key is kept.',
        unit='seconds',
        default=600.0,
        low=1,
        high=604_800,
    )
    latency_objective: float = _describe(
        Form.NUMBER,
        'Bound of the latency objective.',
        unit='seconds',
        default=0.5,
        low=0.001,
        high=86_400,
    )
    objective_share: float = _describe(
        Form.NUMBER,
        'Share of the requests that keep the objectives.',
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


#: Every key of every kind of object.
KEYS: tuple[Key, ...] = tuple(key for kind in KINDS for key in list_keys(kind))


@attrs.frozen
class RawObject:
    """An object as it was read, before any check.

    :param kind: kind of the object
    :param name: name of the object
    :param file: file in which it stands
    :param keys: values by key
    """

    kind: str
    name: str
    file: str
    keys: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ObjectSet:
    """A whole set of objects that passed the check, by name.

    :param services: service objects
    :param places: place objects
    :param policies: policy objects
    """

    services: dict[str, ServiceObject] = attrs.field(factory=dict)
    places: dict[str, PlaceObject] = attrs.field(factory=dict)
    policies: dict[str, PolicyObject] = attrs.field(factory=dict)


@attrs.frozen
class ObjectError:
    """One fault in a set of objects.

    :param object: kind and name of the object, as ``service soapfloor``
    :param key: key at fault; empty when it is the object as a whole
    :param file: file in which the object stands
    :param reason: what was found, and what was expected
    """

    object: str
    key: str
    file: str
    reason: str

    def __str__(self) -> str:
        place = ': '.join(filter(None, (self.file, self.object, self.key)))
        return f'{place}: {self.reason}'
