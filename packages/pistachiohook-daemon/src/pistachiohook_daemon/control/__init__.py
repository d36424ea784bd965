"""Control role: configuration and membership, replicated."""
