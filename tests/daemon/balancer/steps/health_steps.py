"""Steps about the health of a balancer."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_core.published import PublishedState
from pistachiohook_core.published import Service
from pistachiohook_core.steering.balancer import BalancerRouter
from pistachiohook_core.steering.envelope import Envelope
from pistachiohook_core.steering.envelope import Keys
from pistachiohook_core.steering.envelope import Kind
from pistachiohook_core.steering.envelope import seal
from pistachiohook_daemon.balancer.health import assess_health
from pistachiohook_daemon.balancer.health import BalancerStatus

ENTRY = Address('10.0.0.1', 443)
CALLER = Address('10.0.0.9', 40000)
BALANCER = Address('10.0.0.2', 7001)
KEYS = Keys(b'k' * 32)
REVISION = 5
STALE_AFTER = 5.0


@given('a balancer that is {state} and has heard of a quorum {age:d} s ago')
def make_balancer(context, state, age):
    services = (Service('soapfloor', 1, (ENTRY,)),)
    published = PublishedState(REVISION, 1, services)
    context.router = BalancerRouter(BALANCER, published)
    context.state = state
    context.age = float(age)


@when('an agent answers with the revision that is {revision}')
def answer(context, revision):
    applied = REVISION + (revision == 'later')
    envelope = Envelope(
        Kind.ANSWER, 1, 1, applied, 0, CALLER, ENTRY, BALANCER, b'answer'
    )
    accepted = context.router.accept_answer(seal(envelope, KEYS), KEYS)
    accepted.unwrap()


@then("the balancer's health is {health}")
def compare_health(context, health):
    status = BalancerStatus(
        shutting_down=context.state == 'leaving',
        current=context.state != 'not current',
        age=context.age,
        behind=context.router.is_behind(),
    )
    found = assess_health(status, STALE_AFTER)
    assert found.good is (health == 'good'), found
