"""Ways from the revision of a node to the newest one."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from ..published import Balancer
from ..published import Delta
from ..published import Published
from ..published import Service
from ..published import Target
from ..subscription_messages import Update

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

#: Changes that are kept to be sent as deltas.
HISTORY_LENGTH = 1024

#: Items for each changed one from which a search for each is faster than a
#: new sort of all.
SEARCHED_SHARE = 64


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_Item = TypeVar('_Item', bound=_Named)


@attrs.define
class Publication:
    """Bounded history of what was published, on one control instance.

    :param revision: newest revision that is published
    :param length: changes that are kept
    """

    revision: int = 0
    length: int = HISTORY_LENGTH
    _history: deque[Delta] = attrs.field(factory=deque)
    _merged: dict[int, Delta] = attrs.field(factory=dict)
    _snapshot: Published | None = None

    def record(self, delta: Delta) -> None:
        """Take one change into the history.

        :raises ValueError: when the change does not follow the newest one
        """
        if delta.base != self.revision:
            raise ValueError(f'{delta.base} does not follow {self.revision}')
        self._history.append(delta)
        if len(self._history) > self.length:
            self._history.popleft()
        self._move(delta.revision)

    def restart(self, revision: int) -> None:
        """Forget the history, as after the state came from a snapshot."""
        self._history.clear()
        self._move(revision)

    def make_update(
        self,
        applied: int,
        freshness: float,
        linearized: bool,
        snapshot: Callable[[], Published],
        sent: float = 0.0,
    ) -> Update:
        """Answer a node.

        :param applied: revision that the node applies; 0 when none
        :param freshness: age of the last proof of a quorum, in seconds
        :param linearized: whether a linearizable read stands behind it
        :param snapshot: makes everything, as of the newest revision
        :param sent: time that the node's last heartbeat carried
        """
        update = Update(self.revision, freshness, linearized, sent=sent)
        if applied >= self.revision:
            return update
        delta = self._find_delta(applied)
        if delta is not None:
            return attrs.evolve(update, delta=delta)
        if self._snapshot is None:
            self._snapshot = snapshot()
        return attrs.evolve(update, snapshot=self._snapshot)

    def _move(self, revision: int) -> None:
        self.revision = revision
        self._merged.clear()
        self._snapshot = None

    def _find_delta(self, applied: int) -> Delta | None:
        if not self._history or applied < self._history[0].base or not applied:
            return None
        if applied not in self._merged:
            later = [d for d in self._history if d.revision > applied]
            self._merged[applied] = merge_deltas(later)
        return self._merged[applied]


def merge_deltas(deltas: Iterable[Delta]) -> Delta:
    """Join deltas that follow one another into one.

    The result also leads from each revision between to the last one, since
    it holds the last value of each name that has changed.

    :raises ValueError: when there is none
    """
    steps = list(deltas)
    if not steps:
        raise ValueError('no delta to merge')
    services: dict[str, Service | None] = {}
    targets: dict[str, Target | None] = {}
    balancers: dict[str, Balancer | None] = {}
    for step in steps:
        _overlay(services, step.services, step.gone_services)
        _overlay(targets, step.targets, step.gone_targets)
        _overlay(balancers, step.balancers, step.gone_balancers)
    return Delta(
        base=steps[0].base,
        revision=steps[-1].revision,
        configuration=steps[-1].configuration,
        services=_list_present(services),
        targets=_list_present(targets),
        balancers=_list_present(balancers),
        gone_services=_list_gone(services),
        gone_targets=_list_gone(targets),
        gone_balancers=_list_gone(balancers),
    )


def apply_delta(published: Published, delta: Delta) -> Published:
    """Return what is published after a delta.

    :raises ValueError: when the delta starts later than what is published
    """
    if delta.base > published.revision:
        raise ValueError(f'{delta.base} is after {published.revision}')
    if delta.revision <= published.revision:
        return published
    return Published(
        revision=delta.revision,
        configuration=delta.configuration,
        services=_replace(
            published.services, delta.services, delta.gone_services
        ),
        targets=_replace(published.targets, delta.targets, delta.gone_targets),
        balancers=_replace(
            published.balancers, delta.balancers, delta.gone_balancers
        ),
    )


def _overlay(
    known: dict[str, _Item | None],
    present: Iterable[_Item],
    gone: Iterable[str],
) -> None:
    known.update({item.name: item for item in present})
    known.update(dict.fromkeys(gone))


def _list_present(known: dict[str, _Item | None]) -> tuple[_Item, ...]:
    return tuple(item for _, item in sorted(known.items()) if item is not None)


def _list_gone(known: dict[str, _Item | None]) -> tuple[str, ...]:
    return tuple(name for name, item in sorted(known.items()) if item is None)


def _replace(
    items: tuple[_Item, ...], changed: tuple[_Item, ...], gone: tuple[str, ...]
) -> tuple[_Item, ...]:
    if not changed and not gone:
        return items
    if (len(changed) + len(gone)) * SEARCHED_SHARE > len(items):
        known: dict[str, _Item | None] = {item.name: item for item in items}
        _overlay(known, changed, gone)
        return _list_present(known)
    result = list(items)
    for item in changed:
        start, end = _find_span(result, item.name)
        result[start:end] = [item]
    for name in gone:
        start, end = _find_span(result, name)
        del result[start:end]
    return tuple(result)


def _find_span(items: list[_Item], name: str) -> tuple[int, int]:
    """Return where the item stands, or an empty span where it belongs."""
    start = bisect_left(items, name, key=_read_name)
    found = start < len(items) and items[start].name == name
    return start, start + found


def _read_name(item: _Named) -> str:
    return item.name
