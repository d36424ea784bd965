"""Steps on a load peak, with other placements for comparison."""

from __future__ import annotations

import math
from random import Random

import attrs
from behave import given
from behave import then
from behave import when
from mesh import Mesh
from pistachiohook_core.passthrough.messages import LoadReport
from pistachiohook_core.passthrough.placement import Choice
from pistachiohook_core.passthrough.placement import choose_agent

#: Target latency and deadline of each call, in seconds.
PROMPT, DEADLINE = 0.275, 1.5
#: Length of the load peak and of the simulation after it, in seconds.
LENGTH, TAIL = 12.0, 3.0
#: Lowest load, as a fraction of the peak load.
TROUGH = 0.3
#: Mean service time in seconds, its relative standard deviation, the share of
#: long calls and the factor by which they take longer.
MEAN, SPREAD, LONG_PART, LONG_FACTOR = 0.05, 0.5, 0.03, 7.0
SLOTS = 2


@attrs.frozen
class Result:
    """Result of a simulated load peak.

    :param calls: number of calls
    :param prompt: number of calls that were answered in time
    :param reports: number of load reports besides the regular ones
    """

    calls: int
    prompt: int
    reports: int


def choose_at_random(views, route, zone, tried, random, now):
    del route, zone, now
    eligible = [view for view in views if view.address not in tried]
    return Choice(random.choice(eligible), 0.0, math.inf) if eligible else None


def inform_perfectly(mesh):
    """Return a placement by the state of the agents at that moment."""

    def choose(views, route, zone, tried, random, now):
        views = list(views)
        for view in views:
            agent = mesh.agents[view.address.host]
            view.offered.clear()
            view.update_load(agent.describe_load(now))
            view.heard_at = now
        return choose_agent(views, route, zone, tried, random, now)

    return choose


class CountingMesh(Mesh):
    """Mesh that counts the load reports besides the regular ones."""

    reports = 0

    def report(self, name, agent, remote_at=0.0):
        before = self.reports
        super().report(name, agent, remote_at)
        self.reports = before

    def send(self, name, action):
        self.reports += isinstance(action.message, LoadReport)
        super().send(name, action)


def draw_work(random):
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    work = random.lognormvariate(math.log(MEAN) - sigma**2 / 2, sigma)
    return work * LONG_FACTOR if random.random() < LONG_PART else work


def simulate(plan, make_placement, balancers=None):
    """Simulate the load peak.

    :param make_placement: returns the placement function for a mesh
    """
    load, zones, agents = plan
    mesh = CountingMesh()
    for number in range(balancers or 6 * zones):
        mesh.add_balancer(f'b{number}', f'z{number % zones}')
    for number in range(agents):
        mesh.add_agent(
            f'a{number}', f'z{number % zones}', slots=SLOTS, queue_max=28
        )
    mesh.set_routes('s')
    for balancer in mesh.balancers.values():
        balancer.choose_agent = make_placement(mesh)
    mesh.run(0.5)
    random = Random(5)
    mean = MEAN * (1 - LONG_PART + LONG_PART * LONG_FACTOR)
    rate = load / 100 * agents * SLOTS / mean
    names = list(mesh.balancers)
    calls = []
    begin = mesh.now

    def call():
        phase = (mesh.now - begin) / LENGTH
        part = TROUGH + (1 - TROUGH) * math.sin(math.pi * phase) ** 2
        calls.append(
            mesh.call(
                random.choice(names),
                draw_work(random),
                deadline=mesh.now + DEADLINE,
                retries=2,
            )
        )
        if mesh.now < begin + LENGTH:
            mesh.at(mesh.now + random.expovariate(rate * part), call)

    call()
    mesh.run(LENGTH + TAIL)
    ends = [(one, mesh.find_last_attempt(one)) for one in calls]
    prompt = sum(
        end.outcome == 'answered' and end.ended_at - one.began_at <= PROMPT
        for one, end in ends
    )
    return Result(len(calls), prompt, mesh.reports)


@given(
    'a load peak of {load:d} of 100 slots over {zones:d} zones with'
    ' {agents:d} agents'
)
def plan_peak(context, load, zones, agents):
    context.plan = (load, zones, agents)
    context.balancers = None


@given('{number:d} balancers')
def set_balancers(context, number):
    context.balancers = number


@when('it is simulated with random, actual and perfectly informed placement')
def simulate_all(context):
    plan, balancers = context.plan, context.balancers
    context.random = simulate(plan, lambda _: choose_at_random, balancers)
    context.perfect = simulate(plan, inform_perfectly, balancers)
    simulate_actual(context)


@when('it is simulated with actual placement')
def simulate_actual(context):
    context.actual = simulate(
        context.plan, lambda _: choose_agent, context.balancers
    )


@then(
    'actual placement serves {part:d} of 100 calls in time that perfectly'
    ' informed placement does'
)
def compare_perfect(context, part):
    found = (context.actual, context.perfect)
    assert context.actual.prompt * 100 >= part * context.perfect.prompt, found


@then('random placement serves fewer of them')
def compare_random(context):
    found = (context.actual, context.random)
    assert context.random.prompt < context.actual.prompt, found


@then(
    'agents send at most one load report for each call besides their regular'
    ' reports'
)
def compare_reports(context):
    actual = context.actual
    assert actual.reports <= actual.calls, actual
