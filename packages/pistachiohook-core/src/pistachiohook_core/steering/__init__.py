"""Steering of datagrams so that flows stay with their owner."""
