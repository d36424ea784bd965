"""The agent role: serves the flows and requests of one target."""
