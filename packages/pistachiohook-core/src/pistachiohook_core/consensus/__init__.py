"""Replicated log: the Raft algorithm as a state machine without I/O."""
