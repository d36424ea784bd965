"""Membership of nodes: leases, published state and subscriptions."""
