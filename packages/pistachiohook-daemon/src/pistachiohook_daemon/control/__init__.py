"""Control role: replicates the configuration and the membership."""
