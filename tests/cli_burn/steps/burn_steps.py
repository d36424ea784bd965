"""Steps that write the burn report of the command line."""

from __future__ import annotations

from pathlib import Path
import re
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec
from pistachiohook_cli.burn import update_samples
from pistachiohook_cli.burn_page import render_page
from pistachiohook_cli.options import BadInputError
from pistachiohook_core.burn import measure_burn
from pistachiohook_core.burn import Sample
from pistachiohook_core.metrics import Metrics
from pistachiohook_core.published import Service

NOW = 1_000_000.0
BEFORE_ALL_WINDOWS = 30_000.0


def make_sample(metrics, age):
    return Sample(
        NOW - age,
        'a',
        'soapfloor',
        dict(metrics.counts),
        metrics.encode_histograms(),
    )


@given(
    'an agent of soapfloor with {fast:d} requests of {short:g} seconds '
    'and {slow:d} of {long:g} seconds'
)
def start_agent(context, fast, short, slow, long):
    context.agents = {'a': 'soapfloor'}
    metrics = Metrics()
    context.samples = [
        make_sample(metrics, BEFORE_ALL_WINDOWS),
        make_sample(metrics, 100.0),
    ]
    for seconds, requests in ((short, fast), (long, slow)):
        metrics.count('answered', requests)
        for _ in range(requests):
            metrics.record_duration('request', seconds)
    context.samples.append(make_sample(metrics, 0.0))


@given('an agent {name} without samples')
def add_silent_agent(context, name):
    context.agents[name] = 'soapfloor'


@given('no request at all')
def drop_requests(context):
    del context.samples[-1]


@when('the page is rendered')
def render(context):
    burns = measure_burn(
        context.samples, [Service('soapfloor', 1, ())], context.agents, NOW
    )
    context.rendered = render_page(burns, NOW)


@then('it has a plot for each objective and loads nothing from elsewhere')
def check_page(context):
    assert context.rendered.count('<svg') == 2
    found = re.findall(r'src=|href=|url\(|@import', context.rendered)
    assert not found, found


@then('it shows that a latency alert is burning')
def check_burning(context):
    latency = context.rendered.split('<h3>latency')[1].split('<h3>')[0]
    assert 'class="burning"' in latency


@then('the page says {text}')
def check_text(context, text):
    assert text in context.rendered, context.rendered


def create_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / 'samples.jsonl'


@given('a file with samples of {first:d} and {second:d} seconds ago')
def write_file(context, first, second):
    create_folder(context)
    context.file.write_bytes(
        b''.join(
            msgspec.json.encode(make_sample(Metrics(), age)) + b'\n'
            for age in (first, second)
        )
    )


@given('a file of samples that ends in the middle of a line')
def write_truncated_file(context):
    create_folder(context)
    context.file.write_bytes(
        msgspec.json.encode(make_sample(Metrics(), 1))[:-5]
    )


@when('a new sample is added')
def add_sample(context):
    context.before = context.file.read_bytes()
    try:
        update_samples(context.file, [make_sample(Metrics(), 0)], NOW)
        context.refused = False
    except BadInputError:
        context.refused = True


@then('the file holds the samples of {new:d} and {old:d} seconds ago')
def check_file(context, new, old):
    lines = context.file.read_bytes().splitlines()
    times = [msgspec.json.decode(line, type=Sample).time for line in lines]
    assert sorted(times) == [NOW - old, NOW - new], times


@then('it is refused and the file is unchanged')
def check_refused(context):
    assert context.refused
    assert context.file.read_bytes() == context.before
