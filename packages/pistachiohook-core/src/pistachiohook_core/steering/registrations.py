"""Where the flows are that other agents hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from .flow_messages import Flow
    from .flow_messages import Holder

#: Time between two registrations of the same flow, in seconds.
REFRESH_INTERVAL = 4.0

#: Time after which a registration that is not refreshed is dropped, in
#: seconds.
LIFETIME = 15.0


@attrs.frozen
class Registration:
    """The holder of a flow.

    :param holder: who holds it
    :param revision: published revision that the holder had applied
    :param expires_at: time in seconds
    """

    holder: Holder
    revision: int
    expires_at: float


@attrs.define
class Registrations:
    """State of the registrations at one agent: soft, refreshed, expired."""

    _found: dict[Flow, Registration] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._found)

    def keep(
        self, flow: Flow, holder: Holder, revision: int, now: float
    ) -> None:
        """Keep or refresh a registration."""
        self._found[flow] = Registration(holder, revision, now + LIFETIME)

    def find_holder(self, flow: Flow) -> Holder | None:
        """Return who holds a flow, when that is known."""
        found = self._found.get(flow)
        return found.holder if found else None

    def forget(self, flow: Flow) -> None:
        """Drop the registration of a flow, if there is one."""
        self._found.pop(flow, None)

    def forget_from(self, flow: Flow, holder: Holder) -> bool:
        """Drop the registration of a flow if it names this holder.

        :returns: whether there was one
        """
        if self.find_holder(flow) != holder:
            return False
        self.forget(flow)
        return True

    def expire(
        self, now: float, is_live: Callable[[Holder], bool], revision: int
    ) -> None:
        """Drop what is too old, and what names a holder that is gone.

        :param now: time in seconds
        :param is_live: whether a holder is among the published targets
        :param revision: published revision that is applied here
        """
        self._found = {
            flow: one
            for flow, one in self._found.items()
            if one.expires_at > now
            and (one.revision > revision or is_live(one.holder))
        }
