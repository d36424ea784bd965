"""Control instances and nodes in one process, connected by sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path
import shutil
import tempfile
import threading
import time

import attrs
from pistachiohook_core.addresses import Address
from pistachiohook_core.published import Target
from pistachiohook_daemon.control.role import run_control
from pistachiohook_daemon.keys import LinkKeys
from pistachiohook_daemon.settings import ControlSettings
from pistachiohook_daemon.settings import MemberSettings
from pistachiohook_daemon.settings import Settings
from pistachiohook_daemon.subscriber import build_subscriber
from pistachiohook_daemon.supervisor import Supervisor
from ports import find_port

#: Longest wait for a condition that must come true, in seconds.
CONDITION_TIMEOUT = 30.0

KEYS = LinkKeys(b'k' * 32)
OPERATOR = 'operator-token-0001'
READER = 'reader-token-000001'


def find_addresses(count):
    return [Address('127.0.0.1', find_port()) for _ in range(count)]


@attrs.define(eq=False)
class ControlCluster:
    """Control instances and nodes that run on an event loop in a thread."""

    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp()))
    loop: object = attrs.field(factory=asyncio.new_event_loop)
    members: tuple = ()
    links: dict = attrs.field(factory=dict)
    roles: dict = attrs.field(factory=dict)
    nodes: dict = attrs.field(factory=dict)
    applied: dict = attrs.field(factory=dict)
    isolated: str = ''
    events: list = attrs.field(factory=list)

    def start(self, count):
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        names = [f'c{number}' for number in range(1, count + 1)]
        addresses = iter(find_addresses(3 * count))
        self.members = tuple(
            MemberSettings(name, next(addresses), next(addresses))
            for name in names
        )
        self.links = {name: next(addresses) for name in names}
        tokens = f'ana operator {OPERATOR}\nrolf reader {READER}\n'
        (self.folder / 'tokens').write_text(tokens)
        for name in names:
            self.start_control(name)

    def call(self, coroutine):
        done = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return done.result(CONDITION_TIMEOUT)

    def wait(self, condition):
        """Wait until a condition holds."""
        end = time.monotonic() + CONDITION_TIMEOUT
        while not condition():
            assert time.monotonic() < end, (
                'the condition did not become true in time'
            )
            time.sleep(0.02)

    def report(self, event, **fields):
        self.events.append((event.number, fields))

    def start_control(self, name):
        member = next(m for m in self.members if m.name == name)
        table = ControlSettings(
            data_folder=str(self.folder / name),
            api=member.api,
            link=self.links[name],
            peer=member.peer,
            tokens_file=str(self.folder / 'tokens'),
            members=self.members,
        )
        settings = Settings(
            role='control',
            name=name,
            availability_zone='lautoka-a',
            admin=Address('127.0.0.1', 0),
            keys_file='',
        )
        self.call(self._start(settings, table))

    async def _start(self, settings, table):
        supervisor = Supervisor(settings.name, self.report)
        role = await run_control(
            settings, table, KEYS, supervisor, self.report
        )
        self.roles[settings.name] = (role, supervisor)

    def stop_control(self, name):
        role, supervisor = self.roles.pop(name)
        self.call(self._stop(role, supervisor))

    async def _stop(self, role, supervisor):
        await supervisor.cancel()
        await role.shut_down()
        role.folder.close()

    def find_leader(self):
        """Return the leader if all instances agree and are healthy, or ''."""
        roles = [
            role
            for name, (role, _) in self.roles.items()
            if name != self.isolated
        ]
        leaders = {role.replicator.leader for role in roles}
        fresh = all(role.find_health().good for role in roles)
        if len(leaders) > 1 or not fresh or not leaders <= set(self.roles):
            return ''
        return leaders.pop()

    def start_node(self, name, keys=KEYS, first=None):
        """Start a node; if its key is right, wait until it is a member."""
        self.call(self._start_node(name, keys, first))
        if keys is KEYS:
            self.wait(lambda: self.is_member(name))

    def is_member(self, name):
        """Tell whether the node is a member on all running instances."""
        return all(
            name in role.state.members for role, _ in self.roles.values()
        )

    async def _start_node(self, name, keys, first):
        instances = tuple(self.links.values())
        subscriber = build_subscriber(
            name,
            instances,
            keys,
            self.report,
            self.applied.setdefault(name, []).append,
        )
        if first is not None:
            index = list(self.links).index(first)
            subscriber.subscription._next_index = index
        target = Target(
            name=name,
            service='soapfloor',
            availability_zone='lautoka-a',
            agent=Address('127.0.0.1', 1),
            link=Address('127.0.0.1', 2),
            incarnation=subscriber.subscription.incarnation,
            slots=4,
        )
        task = asyncio.create_task(subscriber.run())
        subscriber.announce(target=target)
        self.nodes[name] = (subscriber, task)

    def stop_node(self, name):
        self.call(self._stop_node(*self.nodes.pop(name)))

    async def _stop_node(self, _, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def stop(self):
        for name in tuple(self.nodes):
            self.stop_node(name)
        for name in tuple(self.roles):
            self.stop_control(name)
        self.loop.call_soon_threadsafe(self.loop.stop)
        shutil.rmtree(self.folder)
