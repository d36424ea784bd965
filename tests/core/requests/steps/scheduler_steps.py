"""Steps for the scheduler, with a simulated clock, callers and target."""

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
    """A scheduler with the outcomes of its requests and the target's runs."""

    scheduler: Scheduler
    now: float = START
    ids: dict = attrs.field(factory=dict)
    requests: dict = attrs.field(factory=dict)
    outcomes: dict = attrs.field(factory=dict)
    runs: Counter = attrs.field(factory=Counter)
    started: list = attrs.field(factory=list)
    cancelled: set = attrs.field(factory=set)
    waits: dict = attrs.field(factory=dict)
    arrived: dict = attrs.field(factory=dict)

    def handle(self, event):
        actions = self.scheduler.handle(event, self.now)
        for action in actions:
            self.record_action(action)
        return actions

    def record_action(self, action):
        match action:
            case messages.Start(id):
                retried = self.outcomes.get(id) is not None and self.runs[id]
                self.outcomes[id] = 'started again' if retried else 'started'
                self.runs[id] += 1
                self.started.append(id)
                self.waits[id] = self.now - self.arrived[id]
            case messages.Refuse(id, reason, retry_after):
                assert retry_after >= 1
                self.outcomes[id] = f'refused {reason.value}'
                if reason is messages.RefusalReason.NOT_RUN:
                    assert not self.runs[id], 'not-run, but it ran'
            case messages.HandOver(id, _):
                self.outcomes[id] = 'handed over'
            case messages.CancelAtTarget(id):
                self.cancelled.add(id)
            case messages.Finish(id, _):
                self.outcomes[id] = 'finished'

    def add_request(self, name, idempotent=True, time_left=30.0, **more):
        number = len(self.ids) + 1
        handed_over = more.pop('handed_over', False)
        self.ids[name] = number
        self.arrived[number] = self.now
        self.outcomes[number] = 'waiting'
        values = {'flow': name, 'route': 'POST /orders'} | more
        self.requests[number] = messages.Request(
            id=number,
            idempotent=idempotent,
            deadline=self.now + time_left,
            **values,
        )
        self.handle(
            messages.RequestArrived(self.requests[number], handed_over)
        )

    def add_requests(self, count, **more):
        for _ in range(count):
            self.add_request(f'many {len(self.ids)}', **more)

    def end_attempt(self, number, progress):
        if progress is not messages.AttemptProgress.SENT:
            self.runs[number] -= 1
        previous = self.outcomes[number]
        self.outcomes[number] = 'waiting'
        actions = self.handle(messages.TargetFailed(number, progress))
        if any(action == messages.Start(number) for action in actions):
            self.outcomes[number] = 'started again'
        elif self.outcomes[number] == 'waiting' and previous == 'finished':
            self.outcomes[number] = previous

    def advance_clock(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + messages.TICK_INTERVAL)
            self.handle(messages.Tick())

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


@step('the peer {peer} reports {free:d} free slots')
def report_peer_slots(context, peer, free):
    context.bench.handle(messages.PeerSlots(peer, free, free))


@given('the route has an expected run time of {seconds:f} s')
def learn_default_run_time(context, seconds):
    learn_run_time(context, 'POST /orders', seconds)


@given('the route {route} has an expected run time of {seconds:f} s')
def learn_run_time(context, route, seconds):
    for _ in range(50):
        context.bench.scheduler.estimates.learn(route, 0, seconds, START)


@when('the {kind} request {name:w} arrives')
def add_request(context, kind, name):
    context.bench.add_request(name, kind == 'idempotent')


@when('the {kind} request {name:w} arrives with a deadline in {time_left:f} s')
def add_request_with_deadline(context, kind, name, time_left):
    context.bench.add_request(name, kind == 'idempotent', time_left)


@when('the {kind} request {name:w} arrives from a peer')
def add_request_from_peer(context, kind, name):
    context.bench.add_request(name, kind == 'idempotent', handed_over=True)


@when('{count:d} requests arrive on one flow')
def add_requests_on_flow(context, count):
    context.bench.add_requests(count, flow='one')


@when('{count:d} requests arrive for {route}')
def add_requests_for_route(context, count, route):
    context.bench.add_requests(count, route=route)


@when(
    '{count:d} requests for {route} arrive every {interval:f} s '
    'for {duration:f} s and each is answered after {run_time:f} s'
)
def run_load(context, count, route, interval, duration, run_time):
    bench = context.bench
    for _ in range(round(duration / interval)):
        bench.add_requests(count, route=route)
        bench.now += interval
        for number in tuple(bench.started):
            elapsed = bench.now - bench.arrived[number] - bench.waits[number]
            if (
                bench.outcomes[number] == 'started'
                and elapsed >= run_time - 1e-9
            ):
                bench.handle(messages.TargetAnswered(number))


@when('{count:d} idempotent requests arrive and every attempt is shed')
def shed_every_attempt(context, count):
    bench = context.bench
    for index in range(count):
        bench.add_request(f'r{index}')
        while running := [
            n for n, h in bench.outcomes.items() if 'started' in h
        ]:
            bench.end_attempt(running[0], messages.AttemptProgress.SHED)


@when(
    '{count:d} of them are shed while the load endpoint reports 4 free slots'
)
def shed_while_reporting_free(context, count):
    bench = context.bench
    for number in list(bench.started[:count]):
        bench.handle(messages.LoadReported(slots=4, running=0))
        bench.end_attempt(number, messages.AttemptProgress.SHED)


@when('the attempt of {name:w} fails, {progress}')
def end_attempt(context, name, progress):
    context.bench.end_attempt(
        context.bench.ids[name], messages.AttemptProgress(progress)
    )


@when('the target answers {name:w}')
def answer_request(context, name):
    context.bench.handle(messages.TargetAnswered(context.bench.ids[name]))


@when('the running request ends')
def answer_running(context):
    bench = context.bench
    bench.handle(messages.TargetAnswered(bench.started[-1]))


@when('the hand-over of {name:w} ends as {ending}')
def end_hand_over(context, name, ending):
    bench = context.bench
    number = bench.ids[name]
    if bench.outcomes[number] == 'handed over':
        bench.outcomes[number] = 'waiting'
    outcome = messages.HandOverOutcome(ending)
    bench.handle(messages.HandOverAnswered(number, outcome))


@when('the caller of {name:w} stops waiting')
def cancel_request(context, name):
    context.bench.handle(messages.RequestCancelled(context.bench.ids[name]))


@when('the load endpoint reports {slots:d} slots, {state}, {times:d} times')
def report_load(context, slots, state, times):
    for _ in range(times):
        context.bench.handle(
            messages.LoadReported(slots, 0, serving=state == 'serving')
        )


@when('the drain starts')
def start_drain(context):
    context.bench.handle(messages.DrainStarted())


@when('{seconds:f} s pass')
def pass_time(context, seconds):
    context.bench.advance_clock(seconds)


@then('{name:w} is cancelled at the target')
def check_cancelled(context, name):
    assert context.bench.ids[name] in context.bench.cancelled


@then('{count:d} requests are cancelled at the target')
def check_cancelled_count(context, count):
    assert len(context.bench.cancelled) == count


@then('{name:w} is {outcome:Outcome}')
def check_outcome(context, name, outcome):
    bench = context.bench
    actual = bench.outcomes[bench.ids[name]]
    assert actual == outcome, actual


@then('the target has run {name:w} at most {runs:d} times')
def check_runs(context, name, runs):
    bench = context.bench
    assert bench.runs[bench.ids[name]] <= runs


@then('at most {limit:d} attempts are retries')
def check_retries(context, limit):
    retries = len(context.bench.started) - len(set(context.bench.started))
    assert 0 < retries <= limit, retries


@then('at most {limit:d} requests run at once')
def check_running(context, limit):
    bench = context.bench
    running = [
        n for n, outcome in bench.outcomes.items() if 'started' in outcome
    ]
    assert len(running) <= limit, running
    for number in running:
        bench.handle(messages.TargetAnswered(number))
    bench.add_requests(4)
    running = [
        n for n, outcome in bench.outcomes.items() if 'started' in outcome
    ]
    assert len(running) <= limit, running


@then('{count:d} requests are started')
def check_started(context, count):
    assert len(context.bench.started) == count, context.bench.started


@then('{count:d} requests are started for {route}')
def check_started_route(context, count, route):
    bench = context.bench
    started = set(bench.started) & set(bench.select(route=route))
    assert len(started) == count, started


@then('{count:d} requests on that flow are refused not-run')
def check_refused(context, count):
    bench = context.bench
    numbers = bench.select(flow='one')
    outcomes = [bench.outcomes[number] for number in numbers]
    assert outcomes.count('refused not-run') == count, outcomes


@then('no request for {route} waited longer than {limit:f} s')
def check_waits(context, route, limit):
    bench = context.bench
    waits = [bench.waits[number] for number in bench.select(route=route)]
    assert max(waits) <= limit, waits
