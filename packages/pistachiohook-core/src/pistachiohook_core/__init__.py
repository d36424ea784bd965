"""Decision logic of pistachiohook, apart from sockets and clocks."""
