"""Decision logic of pistachiohook, without sockets or clocks."""
