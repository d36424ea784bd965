"""Steps about envelopes and the QUIC headers of datagrams."""

from __future__ import annotations

import attrs
from behave import given
from behave import then
from behave import when
from hypothesis import given as each
from hypothesis import settings
from hypothesis import strategies as st
from pistachiohook_core.addresses import Address
from pistachiohook_core.steering.envelope import Envelope
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.envelope import Kind
from pistachiohook_core.steering.envelope import seal
from pistachiohook_core.steering.envelope import unseal
from pistachiohook_core.steering.quic import may_open_flow
from pistachiohook_core.steering.quic import read_connection_id
from returns.result import Success

KEY = {
    'current': b'c' * 32,
    'previous': b'p' * 32,
    'foreign': b'f' * 32,
}
KEYS = Keys(KEY['current'], KEY['previous'])
ENVELOPE = Envelope(
    Kind.ENTRY,
    service=7,
    incarnation=3,
    table_version=11,
    hops=1,
    caller=Address('10.0.0.1', 4000),
    entry=Address('10.0.0.2', 443),
    balancer=Address('10.0.0.3', 5000),
    payload=b'payload',
)


def replace_byte(data, index, value):
    return data[:index] + bytes([value]) + data[index + 1 :]


CHANGES = {
    'left unchanged': lambda data: data,
    'given another service': lambda data: replace_byte(data, 7, 8),
    'given another incarnation': lambda data: replace_byte(data, 15, 4),
    'given another hop count': lambda data: replace_byte(data, 2, 0),
    'given another payload': lambda data: data.replace(b'pay', b'lay'),
    'given an unknown kind': lambda data: replace_byte(data, 1, 99),
    'given an unknown format': lambda data: replace_byte(data, 0, 99),
    'shortened by one byte': lambda data: data[:-1],
    'cut to its first 20 bytes': lambda data: data[:20],
    'emptied': lambda _data: b'',
}

addresses = st.builds(
    Address,
    st.ip_addresses(v=4).map(str),
    st.integers(0, 65535),
)
numbers = st.integers(0, 2**64 - 1)
envelopes = st.builds(
    Envelope,
    st.sampled_from(Kind),
    st.integers(0, 2**32 - 1),
    numbers,
    numbers,
    st.integers(0, 255),
    addresses,
    addresses,
    addresses,
    st.binary(max_size=1500),
    addresses,
    numbers,
)


@given('a datagram sealed with the {name} key')
def seal_with_key(context, name):
    context.data = seal(ENVELOPE, Keys(KEY[name]))


@when('it is {change}')
def change_datagram(context, change):
    context.data = CHANGES[change](context.data)


@then('the outcome is "{outcome}"')
def compare_outcome(context, outcome):
    result = unseal(context.data, KEYS)
    unchanged = result == Success(ENVELOPE)
    found = 'accepted' if unchanged else result.failure().value
    assert found == outcome, found


@then('any envelope is the same after it is sealed and unsealed')
def check_round_trip(context):
    @settings(derandomize=True, database=None, deadline=None)
    @each(envelopes)
    def check(envelope):
        assert unseal(seal(envelope, KEYS), KEYS) == Success(envelope)
        changed = attrs.evolve(envelope, payload=envelope.payload + b'x')
        assert seal(changed, KEYS) != seal(envelope, KEYS)

    check()


@when('a datagram of {size:d} bytes begins with {header}')
def make_datagram(context, size, header):
    context.payload = bytes.fromhex(header).ljust(size, b'\0')[:size]


@when('a datagram of 0 bytes begins with')
@when('a datagram of 0 bytes begins with ')
def make_empty_datagram(context):
    context.payload = b''


@then('that it may open a flow is {opens}')
def compare_opens(context, opens):
    assert may_open_flow(context.payload) is (opens == 'true')


@then('its connection id is "{text}"')
def compare_connection_id(context, text):
    found = read_connection_id(context.payload, short_length=4)
    assert (found.hex() if found is not None else 'none') == text, found
