"""Steps on a crest of calls, and placing to compare with."""

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

#: Target latency and deadline of the calls, in seconds.
PROMPT, DEADLINE = 0.275, 1.5
#: Length of the crest and of what is played after it, in seconds.
LENGTH, TAIL = 12.0, 3.0
#: Least load, as a part of the crest's.
TROUGH = 0.3
#: Mean work, its spread, and the part of the work that takes longer.
MEAN, SPREAD, LONG_PART, LONG_FACTOR = 0.05, 0.5, 0.03, 7.0
SLOTS = 2


@attrs.frozen
class Played:
    """What callers got.

    :param calls: how many
    :param prompt: how many were answered in time
    :param reports: messages by which agents told their load between their
        regular reports
    """

    calls: int
    prompt: int
    reports: int


def choose_at_random(views, route, zone, tried, random, now):
    del route, zone, now
    able = [view for view in views if view.address not in tried]
    return Choice(random.choice(able), 0.0, math.inf) if able else None


def know_all(mesh):
    """Return placing by what the agents know at the moment."""

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
    """Counts the agents' reports."""

    reports = 0

    def report(self, name, agent, turn=0):
        before = self.reports
        super().report(name, agent, turn)
        self.reports = before

    def send(self, name, action):
        self.reports += isinstance(action.message, LoadReport)
        super().send(name, action)


def draw_work(random):
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    work = random.lognormvariate(math.log(MEAN) - sigma**2 / 2, sigma)
    return work * LONG_FACTOR if random.random() < LONG_PART else work


def play(plan, find_choice):
    """Play the crest.

    :param find_choice: returns the placing for a mesh
    """
    load, zones, agents = plan
    mesh = CountingMesh()
    for number in range(6 * zones):
        mesh.add_balancer(f'b{number}', f'z{number % zones}')
    for number in range(agents):
        mesh.add_agent(
            f'a{number}', f'z{number % zones}', slots=SLOTS, queue_max=28
        )
    mesh.set_routes('s')
    for balancer in mesh.balancers.values():
        balancer.choose_agent = find_choice(mesh)
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
    ends = [(one, mesh.find_end(one)) for one in calls]
    prompt = sum(
        end.outcome == 'answered' and end.ended_at - one.began_at <= PROMPT
        for one, end in ends
    )
    return Played(len(calls), prompt, mesh.reports)


@given(
    'a crest of {load:d} of 100 slots over {zones:d} zones with {agents:d}'
    ' agents'
)
def plan_crest(context, load, zones, agents):
    context.plan = (load, zones, agents)


@when(
    'it is played with placing at random, as it is, and with perfect knowledge'
)
def play_all(context):
    context.random = play(context.plan, lambda _: choose_at_random)
    context.perfect = play(context.plan, know_all)
    play_now(context)


@when('it is played as it is')
def play_now(context):
    context.played = play(context.plan, lambda _: choose_agent)


@then(
    'as it is, {part:d} of 100 calls that perfect knowledge serves in time'
    ' are served in time'
)
def compare_perfect(context, part):
    found = (context.played, context.perfect)
    assert context.played.prompt * 100 >= part * context.perfect.prompt, found


@then('placing at random serves fewer of them')
def compare_random(context):
    found = (context.played, context.random)
    assert context.random.prompt < context.played.prompt, found


@then('agents report at most once for each call beside their regular reports')
def compare_reports(context):
    played = context.played
    assert played.reports <= played.calls, played
