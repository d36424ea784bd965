"""Deltas between published revisions, and their bounded history."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from ..published import Balancer
from ..published import Delta
from ..published import PublishedState
from ..published import Service
from ..published import Target
from ..subscription_messages import Update

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

#: Number of newest deltas that are kept; a node further behind gets a
#: snapshot.
HISTORY_CAPACITY = 1024

#: Ratio of all items to changed ones from which a binary search for each
#: changed item is faster than sorting all items again.
BISECT_RATIO = 64


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_Item = TypeVar('_Item', bound=_Named)


@attrs.define
class DeltaHistory:
    """Newest deltas on one control instance, from which updates are made.

    :param revision: newest published revision
    :param capacity: number of deltas that are kept
    """

    revision: int = 0
    capacity: int = HISTORY_CAPACITY
    _history: deque[Delta] = attrs.field(factory=deque)
    _merged: dict[int, Delta] = attrs.field(factory=dict)
    _snapshot: PublishedState | None = None

    def record(self, delta: Delta) -> None:
        """Append a delta, and drop the oldest one when there are too many.

        :raises ValueError: when the delta does not start at the newest
            revision
        """
        if delta.base != self.revision:
            raise ValueError(
                f'delta starts at revision {delta.base}, '
                f'but the newest revision is {self.revision}'
            )
        self._history.append(delta)
        if len(self._history) > self.capacity:
            self._history.popleft()
        self._set_revision(delta.revision)

    def reset(self, revision: int) -> None:
        """Drop all deltas, as needed after a snapshot replaced the state.

        :param revision: newest published revision
        """
        self._history.clear()
        self._set_revision(revision)

    def make_update(
        self,
        applied: int,
        freshness: float,
        linearized: bool,
        snapshot: Callable[[], PublishedState],
        sent: float = 0.0,
    ) -> Update:
        """Return an update that brings a node to the newest revision.

        It holds nothing for a node that is up to date, a delta when the
        history reaches back to the revision of the node, and a snapshot
        otherwise.

        :param applied: revision that the node applies; 0 when none
        :param freshness: time since the last quorum confirmation, in seconds
        :param linearized: whether a linearizable read confirms the revision
        :param snapshot: returns everything published at the newest revision
        :param sent: send time in the node's last heartbeat, on its own clock
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

    def _set_revision(self, revision: int) -> None:
        self.revision = revision
        self._merged.clear()
        self._snapshot = None

    def _find_delta(self, applied: int) -> Delta | None:
        if not self._history or applied < self._history[0].base or not applied:
            return None
        if applied not in self._merged:
            missing = [d for d in self._history if d.revision > applied]
            self._merged[applied] = merge_deltas(missing)
        return self._merged[applied]


def merge_deltas(deltas: Iterable[Delta]) -> Delta:
    """Merge consecutive deltas into one.

    The result can be applied at any revision from the first base to the last
    revision, since it holds the final value of each name that has changed.

    :param deltas: deltas in the order of their revisions
    :raises ValueError: when there are no deltas
    """
    ordered = list(deltas)
    if not ordered:
        raise ValueError('no delta to merge')
    services: dict[str, Service | None] = {}
    targets: dict[str, Target | None] = {}
    balancers: dict[str, Balancer | None] = {}
    for delta in ordered:
        _apply_changes(services, delta.services, delta.gone_services)
        _apply_changes(targets, delta.targets, delta.gone_targets)
        _apply_changes(balancers, delta.balancers, delta.gone_balancers)
    return Delta(
        base=ordered[0].base,
        revision=ordered[-1].revision,
        configuration=ordered[-1].configuration,
        services=_list_present(services),
        targets=_list_present(targets),
        balancers=_list_present(balancers),
        gone_services=_list_removed(services),
        gone_targets=_list_removed(targets),
        gone_balancers=_list_removed(balancers),
    )


def apply_delta(published: PublishedState, delta: Delta) -> PublishedState:
    """Return what is published after a delta.

    :raises ValueError: when the delta starts later than what is published
    """
    if delta.base > published.revision:
        raise ValueError(
            f'delta starts at revision {delta.base}, '
            f'after the present revision {published.revision}'
        )
    if delta.revision <= published.revision:
        return published
    return PublishedState(
        revision=delta.revision,
        configuration=delta.configuration,
        services=_apply_item_changes(
            published.services, delta.services, delta.gone_services
        ),
        targets=_apply_item_changes(
            published.targets, delta.targets, delta.gone_targets
        ),
        balancers=_apply_item_changes(
            published.balancers, delta.balancers, delta.gone_balancers
        ),
    )


def _apply_changes(
    known: dict[str, _Item | None],
    present: Iterable[_Item],
    removed: Iterable[str],
) -> None:
    known.update({item.name: item for item in present})
    known.update(dict.fromkeys(removed))


def _list_present(known: dict[str, _Item | None]) -> tuple[_Item, ...]:
    return tuple(item for _, item in sorted(known.items()) if item is not None)


def _list_removed(known: dict[str, _Item | None]) -> tuple[str, ...]:
    return tuple(name for name, item in sorted(known.items()) if item is None)


def _apply_item_changes(
    items: tuple[_Item, ...],
    changed: tuple[_Item, ...],
    removed: tuple[str, ...],
) -> tuple[_Item, ...]:
    if not changed and not removed:
        return items
    if (len(changed) + len(removed)) * BISECT_RATIO > len(items):
        known: dict[str, _Item | None] = {item.name: item for item in items}
        _apply_changes(known, changed, removed)
        return _list_present(known)
    result = list(items)
    for item in changed:
        start, end = _find_span(result, item.name)
        result[start:end] = [item]
    for name in removed:
        start, end = _find_span(result, name)
        del result[start:end]
    return tuple(result)


def _find_span(items: list[_Item], name: str) -> tuple[int, int]:
    """Return the start and end index of the named item.

    The span is empty, at the place for insertion, when there is no such item.
    """
    start = bisect_left(items, name, key=_read_name)
    found = start < len(items) and items[start].name == name
    return start, start + found


def _read_name(item: _Named) -> str:
    return item.name
