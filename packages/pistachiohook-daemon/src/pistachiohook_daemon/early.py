"""What a process does before it imports the modules of its role.

After all processes have stopped, their imports take much of the time until
requests are served again. This module imports little, so that it runs before.
"""

from __future__ import annotations

import socket

#: Connections that the kernel accepts for a process that is still importing
#: its modules.
BACKLOG = 128


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
