"""Processes of one run, started and stopped together."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import time
from typing import Any
from typing import TYPE_CHECKING
import urllib.error
import urllib.request

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

#: Time that a process has to stop after SIGTERM, in seconds.
STOP_TIMEOUT = 8.0

#: Time between two looks at a condition, in seconds.
POLL_INTERVAL = 0.05

#: Longest wait for an answer over HTTP, in seconds.
FETCH_TIMEOUT = 2.0


class ConditionError(Exception):
    """A condition was not met in its time."""


@attrs.define
class Processes:
    """State of the processes of one run.

    :param folder: where each process writes ``NAME.log``
    :param running: processes by name
    :param leaving: processes that were told to stop
    """

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    leaving: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    def start(self, name: str, module: str, settings: Path) -> None:
        """Start a module of the workspace with a settings file.

        The process gets a session of its own, so that Ctrl-C reaches only
        the one who stops it in order.
        """
        command = [sys.executable, '-m', module, '--settings', str(settings)]
        with (self.folder / f'{name}.log').open('ab') as log:
            self.running[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def kill(self, name: str) -> None:
        """End one process with SIGKILL."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def finish(self, name: str, timeout: float) -> int:
        """End one process in order.

        :param timeout: longest wait, in seconds
        :returns: its exit status
        :raises ConditionError: when it takes longer
        """
        self.running[name].terminate()
        status = self.wait(name, timeout)
        del self.running[name]
        return status

    def terminate(self, name: str) -> None:
        """Begin the graceful shutdown of one process."""
        process = self.running.pop(name)
        self.leaving.append(process)
        process.terminate()

    def wait(self, name: str, timeout: float) -> int:
        """Wait for one process to end by itself.

        :returns: its exit status
        :raises ConditionError: when it takes longer
        """
        try:
            return self.running[name].wait(timeout)
        except subprocess.TimeoutExpired as error:
            raise ConditionError(f'{name} runs on') from error

    def find_ended(self) -> list[str]:
        """Return the names of the processes that have ended."""
        return [
            name
            for name, process in self.running.items()
            if process.poll() is not None
        ]

    def read_log(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def stop(self) -> list[str]:
        """Stop every process, those started last first.

        :returns: names of those that had to be killed
        """
        processes = list(reversed(self.running.items()))
        processes += [(f'{one.pid}', one) for one in self.leaving]
        for _, process in processes:
            process.terminate()
            process.send_signal(signal.SIGCONT)
        deadline = time.monotonic() + STOP_TIMEOUT
        return [
            name
            for name, process in processes
            if not _wait_or_kill(process, deadline)
        ]


def _wait_or_kill(process: subprocess.Popen[bytes], deadline: float) -> bool:
    try:
        process.wait(max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
    return True


@contextlib.contextmanager
def hold_processes(folder: Path) -> Iterator[Processes]:
    """Stop all processes at the end, also at SIGINT and SIGTERM."""
    processes = Processes(folder)
    former = signal.signal(signal.SIGTERM, _raise_exit)
    try:
        yield processes
    finally:
        ignored = [signal.SIGINT, signal.SIGTERM]
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)
        processes.stop()
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, former)


def _raise_exit(number: int, _: object) -> None:
    raise SystemExit(128 + number)


def wait_until(
    text: str, condition: Callable[[], bool], timeout: float
) -> None:
    """Look at a condition until it holds.

    :param text: what is waited for
    :param timeout: longest wait, in seconds
    :raises ConditionError: when it doesn't hold in time
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise ConditionError(f'not within {timeout:g} s: {text}')
        time.sleep(POLL_INTERVAL)


def fetch_json(url: str) -> Any:
    """Return the answer of an endpoint, or ``None`` when there is none."""
    try:
        with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT) as answer:
            return json.loads(answer.read() or b'null')
    except (OSError, ValueError):
        return None


def is_healthy(address: str) -> bool:
    """Tell whether the health endpoint of ``host:port`` answers 200."""
    try:
        url = f'http://{address}/health'
        with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def set_import_path(sources: Iterable[Path]) -> None:
    """Let started processes import the workspace's packages."""
    paths = [str(source.resolve()) for source in sources]
    os.environ['PYTHONPATH'] = os.pathsep.join(paths)
