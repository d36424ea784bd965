"""Targets of different speeds, some of which slow down when busy."""

from __future__ import annotations

from random import Random

import attrs
from mesh import Mesh

#: Mean time of a request alone at a target with speed 1, in seconds.
SERVICE = 0.05


@attrs.define
class Work:
    """Requests that a target is running.

    :param speed: speed of the target; 0 while it hangs
    :param knee: requests up to which none of them is slower
    :param left: work that is left for each request, in seconds
    :param version: number of the last change, which outdates earlier events
    """

    speed: float
    knee: float
    left: dict = attrs.field(factory=dict)
    updated_at: float = 0.0
    version: int = 0

    def find_rate(self):
        return self.speed * min(1.0, self.knee / max(1, len(self.left)))


@attrs.define(eq=False)
class UnevenMesh(Mesh):
    """Mesh whose targets share their speed among requests beyond a knee."""

    work: dict = attrs.field(factory=dict)
    #: Whether agents send their regular reports.
    reports: bool = True

    def report(self, name, agent, remote_at=0.0):
        if self.reports:
            super().report(name, agent, remote_at)

    def add_target(self, name, zone, slots, speed=1.0, knee=None):
        self.work[name] = Work(speed, knee or slots)
        self.add_agent(name, zone, slots=slots, queue_max=4)

    def set_speed(self, names, speed):
        for name in names:
            self.advance(name)
            self.work[name].speed = speed
            self.schedule(name, self.targets[name])

    def expire_balancer(self, name):
        """Skip events of an earlier deadline, which would add further ones."""
        due = self.balancers[name].find_next_deadline()
        if due is not None and due <= self.now + 1e-9:
            super().expire_balancer(name)

    def serve(self, name, target):
        self.advance(name)
        left = self.work[name].left
        while target.queue and len(left) < target.slots:
            flow = target.queue.pop(0)
            left[flow] = self.attempts[flow].work_s or target.service_s
        self.schedule(name, target)

    def advance(self, name):
        work = self.work[name]
        done = (self.now - work.updated_at) * work.find_rate()
        work.left = {flow: left - done for flow, left in work.left.items()}
        work.updated_at = self.now

    def schedule(self, name, target):
        work = self.work[name]
        work.version += 1
        target.running = len(work.left)
        rate = work.find_rate()
        if work.left and rate:
            when = self.now + max(0.0, min(work.left.values())) / rate
            self.at(when, self.finish_next, name, target, work.version)

    def finish_next(self, name, target, version):
        work = self.work[name]
        if version != work.version:
            return
        self.advance(name)
        flow = min(work.left, key=work.left.get)
        del work.left[flow]
        self.send_answer(name, target, flow, 100)
        self.serve(name, target)


def play(mesh, rate, length, deadline=float('inf'), retries=0):
    """Let callers call at random times and with random work.

    :param rate: calls per second
    :returns: the calls
    """
    random = Random(3)
    names = list(mesh.balancers)
    end = mesh.now + length
    calls = []

    def call():
        if mesh.now < end:
            work = random.gammavariate(4, SERVICE / 4)
            due = mesh.now + deadline
            calls.append(
                mesh.call(
                    random.choice(names), work, deadline=due, retries=retries
                )
            )
            mesh.at(mesh.now + random.expovariate(rate), call)

    call()
    mesh.run(length + 3)
    return calls
