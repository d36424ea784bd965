"""Pacing of what a balancer sends over the link of its instance."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..addresses import Address

#: Length of the IPv4 and UDP headers of a datagram, in bytes.
HEADERS_LENGTH = 28

#: Share of the link's rate at which datagrams are sent. The rest is for other
#: processes of the instance and for headers below IP.
RATE_SHARE = 0.95

#: Bytes that may be in the queue of a slow link: four full packets. The
#: datagrams that follow are sent as they leave the link, so that none is lost
#: in a full queue and new messages have little in front of them.
BACKLOG_LENGTH = 6000

#: Time that the queue of a fast link may take to drain, in seconds: more than
#: the resolution of timers, so that pacing doesn't slow the link down.
BACKLOG_TIME = 0.002

#: Share of the backlog at which sending goes on, so that each wake-up sends
#: several datagrams.
RESUME_SHARE = 0.5

#: Longest time that the queued datagrams may take to send, in seconds. A
#: caller whose packets wait longer has sent them several times.
QUEUE_TIME_MAX = 1.0


@attrs.frozen
class Datagram:
    """A datagram and its receiver."""

    address: Address
    data: bytes


@attrs.define
class EgressQueue:
    """Datagrams that wait for a link, in a queue for each flow.

    The flows take turns, so that a packet of a short request doesn't wait
    behind a whole upload. Messages of the system itself do not wait.

    :param rate: rate of the link, in bytes per second; 0 without pacing
    :param counts: counters of datagrams by name
    """

    rate: float
    counts: Counter[str] = attrs.field(factory=Counter)
    _flows: OrderedDict[bytes, deque[Datagram]] = attrs.field(
        factory=OrderedDict
    )
    _queued: set[Datagram] = attrs.field(factory=set)
    _length: int = 0
    _busy_until: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        self.rate *= RATE_SHARE

    @property
    def length(self) -> int:
        """Number of bytes that are queued."""
        return self._length

    def record_sent(self, length: int, now: float) -> None:
        """Charge a message to the link that is sent at once.

        :param length: length of the message, in bytes
        """
        if self.rate:
            begin = max(now, self._busy_until)
            self._busy_until = begin + (length + HEADERS_LENGTH) / self.rate

    def add(
        self, flow: bytes, datagram: Datagram, now: float
    ) -> tuple[Datagram, ...]:
        """Send a datagram of a flow, or queue it.

        A datagram that is queued already is not queued again: its sender
        retransmits a packet that has only been delayed here.

        :param flow: key of the flow
        :returns: the datagrams to send now
        """
        if not self._length and self._has_room(self._find_backlog_max(), now):
            self.record_sent(len(datagram.data), now)
            return (datagram,)
        length = len(datagram.data) + HEADERS_LENGTH
        if datagram in self._queued:
            self.counts['egress_duplicates'] += 1
        elif self._length + length > self.rate * QUEUE_TIME_MAX:
            self.counts['egress_dropped'] += 1
        else:
            self._flows.setdefault(flow, deque()).append(datagram)
            self._queued.add(datagram)
            self._length += length
            self.counts['egress_delayed'] += 1
        return ()

    def pop_due(self, now: float) -> tuple[Datagram, ...]:
        """Remove the datagrams that the link has room for."""
        due: list[Datagram] = []
        backlog_max = self._find_backlog_max()
        while self._flows and self._has_room(backlog_max, now):
            flow, datagrams = self._flows.popitem(last=False)
            datagram = datagrams.popleft()
            if datagrams:
                self._flows[flow] = datagrams
            self._queued.discard(datagram)
            self._length -= len(datagram.data) + HEADERS_LENGTH
            self.record_sent(len(datagram.data), now)
            due.append(datagram)
        return tuple(due)

    def find_next_deadline(self) -> float | None:
        """Return when :meth:`pop_due` is due; ``None`` without datagrams."""
        if not self._length:
            return None
        return self._busy_until - self._find_backlog_max() * RESUME_SHARE

    def _find_backlog_max(self) -> float:
        """Return how long what the link holds may take, in seconds."""
        return max(
            BACKLOG_TIME, BACKLOG_LENGTH / self.rate if self.rate else 0
        )

    def _has_room(self, backlog_max: float, now: float) -> bool:
        return not self.rate or self._busy_until - now < backlog_max
