"""Start, supervision and shutdown of the processes of one run."""

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

#: Time from SIGTERM until a process is killed, in seconds.
STOP_TIMEOUT = 8.0

#: Time between two evaluations of a condition, in seconds.
POLL_INTERVAL = 0.05

#: Timeout of an HTTP request, in seconds.
FETCH_TIMEOUT = 2.0


class RunError(Exception):
    """The run failed: a process exited, a command failed or a wait timed out.

    The message is printed to the user.
    """


@attrs.define
class Processes:
    """The processes of one run.

    :param folder: folder in which the output of each process is written to
        ``NAME.log``
    :param running: processes by name, without those that :meth:`kill`,
        :meth:`stop` or :meth:`terminate` ended
    :param terminating: processes that have received SIGTERM and have not
        been waited for
    """

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    terminating: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    def start(self, name: str, module: str, settings: Path) -> None:
        """Run a module of the workspace with a settings file.

        The process gets a session of its own: Ctrl-C then signals only this
        process, which stops the others in order.

        :param name: name by which the other methods refer to the process
        :param module: name of the module, as for ``python -m``
        :param settings: passed as ``--settings``
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
        """Kill one process with SIGKILL and wait for its exit."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def stop(self, name: str, timeout: float) -> int:
        """Terminate one process with SIGTERM and wait for its exit.

        :param timeout: longest wait, in seconds
        :returns: its exit status
        :raises RunError: when it does not exit in time
        """
        self.running[name].terminate()
        status = self.wait(name, timeout)
        del self.running[name]
        return status

    def terminate(self, name: str) -> None:
        """Send SIGTERM to one process without waiting for its exit."""
        process = self.running.pop(name)
        self.terminating.append(process)
        process.terminate()

    def wait(self, name: str, timeout: float) -> int:
        """Wait for the exit of one process, without signalling it.

        :param timeout: longest wait, in seconds
        :returns: its exit status
        :raises RunError: when it does not exit in time
        """
        try:
            return self.running[name].wait(timeout)
        except subprocess.TimeoutExpired as error:
            raise RunError(f'{name} did not exit in time') from error

    def list_exited(self) -> list[str]:
        """Return the names in :attr:`running` whose processes have exited."""
        return [
            name
            for name, process in self.running.items()
            if process.poll() is not None
        ]

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def stop_all(self) -> list[str]:
        """Stop every process, in the reverse order of their start.

        SIGCONT follows SIGTERM, since a process that SIGSTOP has stopped
        cannot handle SIGTERM.

        :returns: names of those that had to be killed; the process id for
            one that :meth:`terminate` had signalled before
        """
        processes = list(reversed(self.running.items()))
        processes += [(f'{one.pid}', one) for one in self.terminating]
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
    """Return whether the process exited by itself before the deadline."""
    try:
        process.wait(max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
    return True


@contextlib.contextmanager
def manage_processes(folder: Path) -> Iterator[Processes]:
    """Stop all processes on leaving the context, also after a signal.

    SIGTERM raises :class:`SystemExit` inside the context. Both SIGINT and
    SIGTERM are ignored while the processes are being stopped.
    """
    processes = Processes(folder)
    previous = signal.signal(signal.SIGTERM, _raise_exit)
    try:
        yield processes
    finally:
        ignored = [signal.SIGINT, signal.SIGTERM]
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)
        processes.stop_all()
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, previous)


def _raise_exit(number: int, _: object) -> None:
    raise SystemExit(128 + number)


def wait_until(
    description: str, condition: Callable[[], bool], timeout: float
) -> None:
    """Poll a condition until it is true.

    :param description: the condition in words, for the error message
    :param timeout: longest wait, in seconds
    :raises RunError: when it is still false after the timeout
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise RunError(f'timed out after {timeout:g} s: {description}')
        time.sleep(POLL_INTERVAL)


def fetch_json(url: str) -> Any:
    """Return the decoded JSON from a URL, ``None`` when the request fails.

    An empty body and one that is not JSON give ``None``, too.
    """
    try:
        with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT) as response:
            return json.loads(response.read() or b'null')
    except (OSError, ValueError):
        return None


def is_healthy(address: str) -> bool:
    """Return whether the health endpoint of ``host:port`` has status 200."""
    try:
        url = f'http://{address}/health'
        with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT) as response:
            return bool(response.status == 200)
    except OSError:
        return False


def set_import_path(sources: Iterable[Path]) -> None:
    """Set ``PYTHONPATH`` for the processes that are started from now on.

    :param sources: folders that contain the workspace's packages
    """
    paths = [str(source.resolve()) for source in sources]
    os.environ['PYTHONPATH'] = os.pathsep.join(paths)
