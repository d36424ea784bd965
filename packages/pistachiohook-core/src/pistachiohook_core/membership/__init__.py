"""Leases, publication to the nodes, and the nodes' side of it."""
