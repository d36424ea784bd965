"""Steering: routing of datagrams to the agents that hold their flows."""
