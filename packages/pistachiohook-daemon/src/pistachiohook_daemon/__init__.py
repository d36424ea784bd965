"""The daemon: runs the decision logic with sockets, tasks and clocks."""
