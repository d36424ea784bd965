"""Steps on burn rates, with samples of simulated agents."""

from __future__ import annotations

import attrs
from behave import given
from behave import then
from behave import when
from pistachiohook_core.burn import measure_burn
from pistachiohook_core.burn import Sample
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.published import Service

#: Seconds in a minute.
MINUTE = 60.0

#: Time between two samples of an agent, in minutes.
SAMPLE_INTERVAL = 5

#: Counter of each kind of bad requests that are counted by name.
COUNTERS = {'refused': 'refused_late', 'failed': 'target_failed'}

#: Service whose burn rates are computed.
SERVICE = Service(
    'soapfloor', 1, (), latency_objective=0.5, objective_share=0.99
)


def take_sample(metrics, agent, time):
    return Sample(
        time,
        agent,
        'soapfloor',
        dict(metrics.counts),
        metrics.encode_histograms(),
    )


def sample_agent(agent, minutes, good, bad, kind, restart=None):
    """Return the samples of an agent since its start.

    :param restart: minute at which its counters start again at 0
    """
    metrics = Metrics()
    samples = [take_sample(metrics, agent, 0.0)]
    for minute in range(1, minutes + 1):
        if minute == restart:
            metrics = Metrics()
        record_requests(metrics, good, 0.01)
        if kind == 'slow':
            record_requests(metrics, bad, 2.0)
        else:
            metrics.count(COUNTERS[kind], bad)
        if minute % SAMPLE_INTERVAL == 0:
            samples.append(take_sample(metrics, agent, minute * MINUTE))
    return samples


def record_requests(metrics, requests, seconds):
    metrics.count('answered', requests)
    for _ in range(requests):
        metrics.record_duration('request', seconds)


@given(
    '{agents:d} agents with {good:d} good and {bad:d} {kind} requests '
    'a minute for {minutes:d} minutes'
)
def start_agents(context, agents, good, bad, kind, minutes):
    context.minutes = minutes
    context.agents = {
        f'agent-{number}': 'soapfloor' for number in range(agents)
    }
    context.sample = lambda agent, restart=None: sample_agent(
        agent, minutes, good, bad, kind, restart
    )
    one = context.sample('agent-0')
    context.series = {
        agent: [attrs.evolve(sample, agent=agent) for sample in one]
        for agent in context.agents
    }


@given('no fault')
def add_nothing(context):
    pass


@given('no sample of an agent in the last {minutes:d} minutes')
def remove_last_samples(context, minutes):
    del context.series['agent-0'][-(minutes // SAMPLE_INTERVAL) :]


@given('an agent that was never sampled')
def add_unsampled(context):
    context.agents['agent-x'] = 'soapfloor'


@given('an agent that restarted at half time')
def restart_agent(context):
    context.series['agent-0'] = context.sample(
        'agent-0', restart=context.minutes // 2 + 1
    )


@given(
    'an agent with {many:d} requests of {short:g} seconds and one with '
    '{few:d} of {long:g} second'
)
def start_unequal(context, many, short, few, long):
    context.minutes = 1
    context.agents = {'a': 'soapfloor', 'b': 'soapfloor'}
    context.series = {}
    for agent, requests, seconds in (('a', many, short), ('b', few, long)):
        metrics = Metrics()
        samples = [take_sample(metrics, agent, 0.0)]
        record_requests(metrics, requests, seconds)
        samples.append(take_sample(metrics, agent, MINUTE))
        context.series[agent] = samples


@when('the burn rates are computed')
def measure(context):
    samples = [one for series in context.series.values() for one in series]
    (context.burn,) = measure_burn(
        samples, [SERVICE], context.agents, context.minutes * MINUTE
    )


def find_objective(context, kind):
    return next(
        one for one in context.burn.objectives if one.kind.value == kind
    )


def find_window(context, kind, length):
    windows = find_objective(context, kind).windows
    return next(window for window in windows if window.length == length)


@then('there is no {kind} burn rate over {length:g} seconds')
def check_no_rate(context, kind, length):
    assert find_window(context, kind, length).rate is None


@then('the {kind} burn rate over {length:g} seconds is {rate:g}')
def check_rate(context, kind, length, rate):
    window = find_window(context, kind, length)
    assert round(window.rate, 6) == rate, window


@then('the {alert} alert of {kind} is {verdict}')
def check_alert(context, alert, kind, verdict):
    alerts = find_objective(context, kind).alerts
    found = next(one.verdict.value for one in alerts if one.name == alert)
    assert found == verdict, found


@then('{missing:d} agents are missing and {restarts:d} restarts are detected')
def check_missing(context, missing, restarts):
    assert len(context.burn.missing) == missing, context.burn.missing
    assert context.burn.restarts == restarts, context.burn.restarts


@then('{total:d} requests are counted for {kind} over {length:g} seconds')
def check_total(context, kind, length, total):
    assert find_window(context, kind, length).total == total


@then(
    'the merged median is {median:g} seconds and the 99th percentile '
    '{high:g} second'
)
def check_quantiles(context, median, high):
    found = [one.seconds for one in context.burn.quantiles]
    close = [
        abs(value - expected) <= expected * 0.01
        for value, expected in zip(found, (median, high), strict=True)
    ]
    assert all(close), found
