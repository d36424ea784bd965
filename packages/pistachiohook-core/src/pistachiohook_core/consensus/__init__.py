"""Replicated log: Raft as a pure state machine."""
