"""What a process does before it imports the modules of its role.

After all processes have stopped, their imports take most of the time until
requests are served again. This module imports little, so that it runs before.
"""

from __future__ import annotations

import socket
import time

#: Connections that the kernel accepts for a process that is still importing
#: its modules.
BACKLOG = 128

#: Longest time for which a balancer lets control on the same instance start
#: first, in seconds. Without routes no balancer can serve anything.
CONTROL_WAIT = 0.5

#: Interval at which :func:`await_listener` looks for the listener, in seconds.
LOOK_INTERVAL = 0.05

#: Timeout of one look, in seconds. It is only reached when the system drops
#: packets to its own address.
LOOK_TIMEOUT = 0.1


def open_listener(host: str, port: int) -> socket.socket | None:
    """Listen on an address, so that connections wait instead of failing.

    :returns: the socket; ``None`` when the address can't be bound, which the
        role meets again and reports when it binds the address itself
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return None
    return listener


def await_listener(host: str, port: int, timeout: float) -> bool:
    """Wait until another process on this instance listens on an address.

    :param timeout: longest wait, in seconds
    :returns: whether the other process listens
    """
    end = time.monotonic() + timeout
    while not _is_listening(host, port):
        if time.monotonic() >= end:
            return False
        time.sleep(LOOK_INTERVAL)
    return True


def _is_listening(host: str, port: int) -> bool:
    # create_connection would look up the name of the host first.
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as looking:
        looking.settimeout(LOOK_TIMEOUT)
        return not looking.connect_ex((host, port))
