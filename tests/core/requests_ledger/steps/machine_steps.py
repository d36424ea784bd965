"""Steps that let hypothesis look for a key granted twice."""

from __future__ import annotations

from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
import hypothesis.strategies as st
from ledger_bench import make_bench
from ledger_bench import make_key
from pistachiohook_core.requests.ledger_messages import Tick

NAMES = st.sampled_from('abcde')


class LedgerMachine(RuleBasedStateMachine):
    """Two keys, five agents, and anything that may go wrong."""

    def __init__(self):
        super().__init__()
        self.bench = make_bench(5)
        self.bench.leave('d')
        self.bench.leave('e')
        self.bench.advance(30.0)
        self.keys = [make_key(self.bench, tag) for tag in ('one', 'two')]

    @rule(name=NAMES, key=st.integers(0, 1))
    def begin(self, name, key):
        self.bench.request(name, self.keys[key])

    @rule(name=NAMES, key=st.integers(0, 1))
    def look_up(self, name, key):
        self.bench.look_up(name, self.keys[key])

    @precondition(lambda self: self.bench.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        network = self.bench.network
        index = data.draw(st.integers(0, len(network) - 1))
        if keep:
            network.append(network[index])
        self.bench.deliver(index)

    @precondition(lambda self: self.bench.network)
    @rule(data=st.data())
    def lose(self, data):
        network = self.bench.network
        del network[data.draw(st.integers(0, len(network) - 1))]

    @rule(name=NAMES)
    def lose_all_to(self, name):
        network = self.bench.network
        network[:] = [post for post in network if post[1] != name]

    @rule()
    def deliver_all(self):
        self.bench.deliver_all()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0]), data=st.data())
    def pass_time(self, seconds, data):
        """Time passes; some agents hear from control, some do not."""
        bench = self.bench
        bench.now += seconds
        for name in sorted(bench.agents):
            if data.draw(st.integers(0, 3)):
                bench.confirm(name)
            bench.feed(name, Tick())
        del bench.network[200:]

    @rule(seconds=st.sampled_from([3.0, 20.0]))
    def settle(self, seconds):
        self.bench.advance(seconds)

    @rule(name=NAMES)
    def restart(self, name):
        self.bench.start(name)

    @rule(name=NAMES)
    def leave(self, name):
        self.bench.leave(name)

    @rule(key=st.integers(0, 1), lost=st.booleans())
    def end_run(self, key, lost):
        key = self.keys[key]
        if key in self.bench.granted_to and key not in self.bench.answers:
            self.bench.end_run(key, None if lost else b'answer')

    @rule(names=st.sets(NAMES, max_size=2))
    def cut(self, names):
        self.bench.cut = names


@when('{count:d} runs of {steps:d} faults are tried')
def try_faults(context, count, steps):
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then('no key was granted twice')
def check_nothing(context):
    """The machine has raised when one was."""
