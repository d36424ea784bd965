"""The agent role: owns the flows and requests of one target."""
