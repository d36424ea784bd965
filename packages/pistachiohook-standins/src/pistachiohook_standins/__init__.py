"""Stand-ins for the fabric, targets and callers."""
