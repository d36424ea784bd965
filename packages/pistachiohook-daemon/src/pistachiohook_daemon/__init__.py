"""The daemon: tasks that own sockets around the decision logic."""
