"""Stand-ins for the fabric, targets and callers, and a load tool."""
