"""Steps about the scheduler, in virtual time, with a target that counts."""

from __future__ import annotations

from collections import Counter

import attrs
from behave import given
from behave import register_type
from behave import step
from behave import then
from behave import when
from parse_type import TypeBuilder
from pistachiohook_core.requests.scheduler import Scheduler
from pistachiohook_core.requests.scheduler import SchedulerSettings
import pistachiohook_core.requests.scheduler_messages as messages

START = 1000.0

register_type(
    Outcome=TypeBuilder.make_choice(
        [
            'started',
            'started again',
            'waiting',
            'finished',
            'handed over',
            'refused not-run',
            'refused unknown-outcome',
        ]
    )
)


@attrs.define
class Bench:
    """A scheduler, its target's count of runs, and what callers heard."""

    scheduler: Scheduler
    now: float = START
    ids: dict = attrs.field(factory=dict)
    requests: dict = attrs.field(factory=dict)
    heard: dict = attrs.field(factory=dict)
    runs: Counter = attrs.field(factory=Counter)
    starts: list = attrs.field(factory=list)
    cancelled: set = attrs.field(factory=set)
    waited: dict = attrs.field(factory=dict)
    arrived: dict = attrs.field(factory=dict)

    def feed(self, event):
        actions = self.scheduler.handle(event, self.now)
        for action in actions:
            self.carry_out(action)
        return actions

    def carry_out(self, action):
        match action:
            case messages.Start(id):
                again = self.heard.get(id) is not None and self.runs[id]
                self.heard[id] = 'started again' if again else 'started'
                self.runs[id] += 1
                self.starts.append(id)
                self.waited[id] = self.now - self.arrived[id]
            case messages.Refuse(id, reason, retry_after):
                assert retry_after >= 1
                self.heard[id] = f'refused {reason.value}'
                if reason is messages.RefusalReason.NOT_RUN:
                    assert not self.runs[id], 'not-run, but it ran'
            case messages.HandOver(id, _):
                self.heard[id] = 'handed over'
            case messages.CancelAtTarget(id):
                self.cancelled.add(id)
            case messages.Finish(id, _):
                self.heard[id] = 'finished'

    def arrive(self, name, idempotent=True, left=30.0, **more):
        number = len(self.ids) + 1
        handed_over = more.pop('handed_over', False)
        self.ids[name] = number
        self.arrived[number] = self.now
        self.heard[number] = 'waiting'
        values = {'flow': name, 'route': 'POST /orders'} | more
        self.requests[number] = messages.Request(
            id=number,
            idempotent=idempotent,
            deadline=self.now + left,
            **values,
        )
        self.feed(messages.RequestArrived(self.requests[number], handed_over))

    def arrive_many(self, count, **more):
        for _ in range(count):
            self.arrive(f'many {len(self.ids)}', **more)

    def fail(self, number, progress):
        if progress is not messages.AttemptProgress.SENT:
            self.runs[number] -= 1
        before = self.heard[number]
        self.heard[number] = 'waiting'
        actions = self.feed(messages.TargetFailed(number, progress))
        if any(action == messages.Start(number) for action in actions):
            self.heard[number] = 'started again'
        elif self.heard[number] == 'waiting' and before == 'finished':
            self.heard[number] = before

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + messages.TICK_INTERVAL)
            self.feed(messages.Tick())

    def select(self, **values):
        return [
            number
            for number, request in self.requests.items()
            if all(getattr(request, k) == v for k, v in values.items())
        ]


def make_bench(slots, started_at=0.0, **settings):
    return Bench(
        Scheduler(SchedulerSettings(slots=slots, **settings), started_at)
    )


@given('a target with {slots:d} slots')
def make_target(context, slots):
    context.bench = make_bench(slots)


@given('a target with {slots:d} slots and a queue of {limit:d}')
def make_target_with_queue(context, slots, limit):
    context.bench = make_bench(slots, queue_limit=limit)


@given('a target with {slots:d} slots that started {age:f} s ago')
def make_cold_target(context, slots, age):
    context.bench = make_bench(slots, started_at=START - age)


@step('the peer {peer} has {free:d} free slots')
def tell_peer_slots(context, peer, free):
    context.bench.feed(messages.PeerSlots(peer, free, free))


@given('the route has run for {seconds:f} s')
def teach_default_route(context, seconds):
    teach_route(context, 'POST /orders', seconds)


@given('the route {route} has run for {seconds:f} s')
def teach_route(context, route, seconds):
    for _ in range(50):
        context.bench.scheduler.estimates.learn(route, 0, seconds, START)


@when('the {kind} request {name:w} arrives')
def bring_request(context, kind, name):
    context.bench.arrive(name, kind == 'idempotent')


@when('the {kind} request {name:w} arrives with {left:f} s left')
def bring_urgent_request(context, kind, name, left):
    context.bench.arrive(name, kind == 'idempotent', left)


@when('the {kind} request {name:w} arrives from a peer')
def bring_foreign_request(context, kind, name):
    context.bench.arrive(name, kind == 'idempotent', handed_over=True)


@when('{count:d} requests arrive on one flow')
def bring_flow(context, count):
    context.bench.arrive_many(count, flow='one')


@when('{count:d} requests arrive for {route}')
def bring_route(context, count, route):
    context.bench.arrive_many(count, route=route)


@when(
    '{count:d} of {route} come each {gap:f} s for {span:f} s, '
    'each is answered after {run:f} s'
)
def bring_stream(context, count, route, gap, span, run):
    bench = context.bench
    for _ in range(round(span / gap)):
        bench.arrive_many(count, route=route)
        bench.now += gap
        for number in tuple(bench.starts):
            age = bench.now - bench.arrived[number] - bench.waited[number]
            if bench.heard[number] == 'started' and age >= run - 1e-9:
                bench.feed(messages.TargetAnswered(number))


@when('{count:d} idempotent requests arrive and every attempt is shed')
def shed_everything(context, count):
    bench = context.bench
    for index in range(count):
        bench.arrive(f'r{index}')
        while running := [n for n, h in bench.heard.items() if 'started' in h]:
            bench.fail(running[0], messages.AttemptProgress.SHED)


@when(
    '{count:d} of them are shed while the load endpoint reports 4 free slots'
)
def shed_some(context, count):
    bench = context.bench
    for number in list(bench.starts[:count]):
        bench.feed(messages.LoadReported(slots=4, running=0))
        bench.fail(number, messages.AttemptProgress.SHED)


@when('the attempt of {name:w} ends, {progress}')
def end_attempt(context, name, progress):
    context.bench.fail(
        context.bench.ids[name], messages.AttemptProgress(progress)
    )


@when('the target answers {name:w}')
def answer_request(context, name):
    context.bench.feed(messages.TargetAnswered(context.bench.ids[name]))


@when('the running request ends')
def answer_running(context):
    bench = context.bench
    bench.feed(messages.TargetAnswered(bench.starts[-1]))


@when('the hand-over of {name:w} ends, {ending}')
def end_hand_over(context, name, ending):
    bench = context.bench
    number = bench.ids[name]
    if bench.heard[number] == 'handed over':
        bench.heard[number] = 'waiting'
    outcome = messages.HandOverOutcome(ending)
    bench.feed(messages.HandOverAnswered(number, outcome))


@when('the caller of {name:w} leaves')
def cancel_request(context, name):
    context.bench.feed(messages.RequestCancelled(context.bench.ids[name]))


@when('the load endpoint reports {slots:d} slots, {state}, {times:d} times')
def report_load(context, slots, state, times):
    for _ in range(times):
        context.bench.feed(
            messages.LoadReported(slots, 0, serving=state == 'serving')
        )


@when('the drain starts')
def start_drain(context):
    context.bench.feed(messages.DrainStarted())


@when('{seconds:f} s pass')
def pass_time(context, seconds):
    context.bench.advance(seconds)


@then('{name:w} is cancelled at the target')
def check_cancelled(context, name):
    assert context.bench.ids[name] in context.bench.cancelled


@then('{count:d} requests are cancelled at the target')
def check_cancelled_count(context, count):
    assert len(context.bench.cancelled) == count


@then('{name:w} is {outcome:Outcome}')
def check_outcome(context, name, outcome):
    bench = context.bench
    heard = bench.heard[bench.ids[name]]
    assert heard == outcome, heard


@then('the target has run {name:w} at most {runs:d} times')
def check_runs(context, name, runs):
    bench = context.bench
    assert bench.runs[bench.ids[name]] <= runs


@then('at most {most:d} attempts are retries')
def check_retries(context, most):
    retries = len(context.bench.starts) - len(set(context.bench.starts))
    assert 0 < retries <= most, retries


@then('at most {most:d} requests run at once')
def check_running(context, most):
    bench = context.bench
    running = [n for n, heard in bench.heard.items() if 'started' in heard]
    assert len(running) <= most, running
    for number in running:
        bench.feed(messages.TargetAnswered(number))
    bench.arrive_many(4)
    running = [n for n, heard in bench.heard.items() if 'started' in heard]
    assert len(running) <= most, running


@then('{count:d} requests are started')
def check_started(context, count):
    assert len(context.bench.starts) == count, context.bench.starts


@then('{count:d} requests are started for {route}')
def check_started_route(context, count, route):
    bench = context.bench
    started = set(bench.starts) & set(bench.select(route=route))
    assert len(started) == count, started


@then('{count:d} requests on that flow are refused not-run')
def check_refused(context, count):
    bench = context.bench
    numbers = bench.select(flow='one')
    heard = [bench.heard[number] for number in numbers]
    assert heard.count('refused not-run') == count, heard


@then('no request for {route} waited longer than {most:f} s')
def check_waits(context, route, most):
    bench = context.bench
    waits = [bench.waited[number] for number in bench.select(route=route)]
    assert max(waits) <= most, waits
