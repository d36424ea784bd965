"""Objects that operators write, and the state machine that accepts them."""
