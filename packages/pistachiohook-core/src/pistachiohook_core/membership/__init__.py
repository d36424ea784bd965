"""Targets and balancers: leases, states and weights."""
