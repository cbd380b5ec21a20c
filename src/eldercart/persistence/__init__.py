"""Storage of the leader's state in the state store: transactions, records and checkpoints."""
