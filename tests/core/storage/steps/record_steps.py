"""Steps on the records of a file."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.storage.records import decode_records
from pistachiohook_core.storage.records import encode_record
from pistachiohook_core.storage.records import HEADER_BYTES

ORDINALS = {'first': 0, 'third': 2, 'last': 4}


@given('a file of {count:d} records of {size:d} bytes')
def write_records(context, count, size):
    data = b''
    context.starts = []
    for number in range(count):
        context.starts.append(len(data))
        body = bytes((number * 7 + place) % 255 + 1 for place in range(size))
        data += encode_record(body, len(data))
    context.starts.append(len(data))
    context.data = data


@when('the file is damaged: {damage}')
def damage_file(context, damage):
    words = damage.split()
    if damage == 'nothing':
        return
    if 'bit' in words:
        place = context.starts[ORDINALS[words[4]]]
        place += HEADER_BYTES + 2 if words[5] == 'body' else 3
        context.data = flip(context.data, place * 8)
        return
    context.data = OTHER_DAMAGE[damage](context.data, context.starts)


def flip(data, bit):
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


def clear(data, start, end):
    return data[:start] + bytes(end - start) + data[end:]


OTHER_DAMAGE = {
    'the last byte is missing': lambda data, _: data[:-1],
    'half of the last record is missing': lambda data, _: data[:-350],
    'half of the last header is missing': (
        lambda data, starts: data[: starts[4] + HEADER_BYTES // 2]
    ),
    'a sector of the last record is zeroed': (
        lambda data, _: clear(data, 3072, len(data))
    ),
    'the last record is zeroed': (
        lambda data, starts: clear(data, starts[4], starts[5])
    ),
    'the last record is missing': lambda data, starts: data[: starts[4]],
    'the third record is zeroed': (
        lambda data, starts: clear(data, starts[2], starts[3])
    ),
    'the third record is missing': (
        lambda data, starts: data[: starts[2]] + data[starts[3] :]
    ),
    'the third and fourth records are swapped': (
        lambda data, starts: (
            data[: starts[2]]
            + data[starts[3] : starts[4]]
            + data[starts[2] : starts[3]]
            + data[starts[4] :]
        )
    ),
}


@then('reading it gives {count:d} records')
def check_records(context, count):
    records = decode_records(context.data, 'journal').unwrap()
    assert len(records.bodies) == count, records
    assert records.length == context.starts[count]


@then('reading it gives a failure at record {number:d}')
def check_damage(context, number):
    failure = decode_records(context.data, 'journal').failure()
    assert failure.peer == 'journal'
    offset = context.starts[number - 1]
    assert f'offset {offset} ' in failure.reason, failure


@then('each of its prefixes gives the records that are complete in it')
def check_prefixes(context):
    for length in range(len(context.data) + 1):
        whole = sum(1 for start in context.starts[1:] if start <= length)
        records = decode_records(context.data[:length], 'journal').unwrap()
        assert len(records.bodies) == whole, (length, records)


@then('each of its bits, flipped, gives a failure')
def check_flips(context):
    for bit in range(len(context.data) * 8):
        failure = decode_records(flip(context.data, bit), 'journal').failure()
        assert 'offset' in failure.reason, bit
