"""Steps about addresses."""

from __future__ import annotations

from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.addresses import pack_address
from pistachiohook_core.addresses import parse_address
from pistachiohook_core.addresses import unpack_address
from returns.result import Success


@when('the text "{text}" is parsed as an address')
def read_text(context, text):
    context.outcome = parse_address(text)


@then('the outcome is "{outcome}"')
def compare_outcome(context, outcome):
    accepted = isinstance(context.outcome, Success)
    found = str(context.outcome.unwrap()) if accepted else 'refused'
    assert found == outcome, found


@when('the address {text} is packed and unpacked')
def pack_and_unpack(context, text):
    packed = pack_address(parse_address(text).unwrap())
    context.address = unpack_address(packed)


@then('the result is {text}')
def compare_address(context, text):
    assert str(context.address) == text


@when('a host {host} with port {port:d} is packed')
def pack_invalid(context, host, port):
    try:
        pack_address(Address(host, port))
    except ValueError as error:
        context.error = error


@then('a ValueError is raised')
def check_error(context):
    assert str(context.error)
