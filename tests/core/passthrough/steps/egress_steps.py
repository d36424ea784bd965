"""Steps on the pacing of a balancer's egress."""

from __future__ import annotations

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.passthrough.egress import Datagram
from pistachiohook_core.passthrough.egress import EgressQueue
from pistachiohook_core.passthrough.egress import HEADERS_LENGTH

AGENT = Address('agent', 1)
PACKET_LENGTH, MESSAGE_LENGTH = 1222, 150


@attrs.define
class Link:
    """A link with a bounded queue, and a balancer that sends over it."""

    rate: float
    capacity: float
    queue: EgressQueue
    now: float = 0.0
    busy_until: float = 0.0
    #: When each datagram has left, by its data.
    left: dict = attrs.field(factory=dict)
    lost: list = attrs.field(factory=list)
    copies: int = 0

    def send(self, data):
        length = len(data) + HEADERS_LENGTH
        backlog = max(0.0, self.busy_until - self.now) * self.rate
        if backlog + length > self.capacity:
            self.lost.append(data)
            return
        self.copies += data in self.left
        self.busy_until = max(self.now, self.busy_until) + length / self.rate
        self.left[data] = self.busy_until

    def forward(self, flow, number):
        data = bytes((flow, number)).ljust(PACKET_LENGTH, b'.')
        datagram = Datagram(AGENT, data)
        for due in self.queue.add(bytes((flow,)), datagram, self.now):
            self.send(due.data)

    def run(self, until):
        while (due := self.queue.find_next_deadline()) is not None:
            if max(due, self.now) > until:
                break
            self.now = max(due, self.now)
            for datagram in self.queue.pop_due(self.now):
                self.send(datagram.data)
        self.now = until


@given('a link of {rate:g} Mbit/s whose queue holds {held:d} ms, {how}')
def add_link(context, rate, held, how):
    bytes_per_s = rate * 1e6 / 8
    queue = EgressQueue(bytes_per_s if how == 'paced' else 0.0)
    context.link = Link(bytes_per_s, bytes_per_s * held / 1000, queue)


@when('16 packets of each of {flows:d} flows arrive at once')
def send_bursts(context, flows):
    context.flows = flows
    for number in range(16 * flows):
        context.link.forward(number // 16, number % 16)


@when('a message is sent in each millisecond for 100 ms')
def send_messages(context):
    link = context.link
    context.messages = {}
    for number in range(100):
        data = b'message' + bytes((number,)).ljust(MESSAGE_LENGTH, b'.')
        context.messages[data] = link.now
        link.queue.record_sent(len(data), link.now)
        link.send(data)
        link.run(link.now + 0.001)


@when('a packet of another flow arrives')
def send_short(context):
    context.link.forward(99, 0)


@when('the same packets arrive again 200 ms later')
def send_again(context):
    context.link.run(0.2)
    context.sent = set(context.link.left)
    send_bursts(context, context.flows)


@when('the balancer is paused for 90 ms')
def pause(context):
    context.link.now = 0.09


@then('{lost:d} packets are lost, and the last one has left after {most:g} ms')
def check_losses(context, lost, most):
    context.link.run(10.0)
    assert len(context.link.lost) == lost, len(context.link.lost)
    last = max(context.link.left.values())
    assert last <= most / 1000, last


@then('no packet is lost')
def check_none_lost(context):
    context.link.run(10.0)
    assert not context.link.lost
    assert len(context.link.left) == 16 * context.flows


@then('no message is lost, and each has left after {most:d} ms')
def check_messages(context, most):
    left = context.link.left
    waits = [left[data] - at for data, at in context.messages.items()]
    assert max(waits) <= most / 1000, max(waits)


@then('that packet has left after {most:d} ms')
def check_short(context, most):
    context.link.run(10.0)
    (left,) = (at for data, at in context.link.left.items() if data[0] == 99)
    assert left <= most / 1000, left


@then('each of the packets still queued has been sent once')
def check_once(context):
    link = context.link
    link.run(10.0)
    assert len(link.left) == 16 * context.flows
    assert link.copies == len(context.sent), link.copies
    assert link.queue.counts['egress_duplicates'] > 0


@then('no packet has left after {most:d} ms, and the dropped ones are counted')
def check_bound(context, most):
    link = context.link
    link.run(10.0)
    assert max(link.left.values()) <= most / 1000
    dropped = link.queue.counts['egress_dropped']
    assert dropped == 16 * context.flows - len(link.left) > 0
