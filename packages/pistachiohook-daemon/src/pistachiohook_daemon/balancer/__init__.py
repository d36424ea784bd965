"""The balancer role: steers datagrams without state of flows."""
