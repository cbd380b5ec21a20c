"""Limits of transactions that have conditions only, by which keys are checked for their absence."""

# Transactions of one look-up, beyond which outcomes are read by their common key prefix.
MAX_CONDITION_REQUESTS = 2
MAX_CONDITION_BYTES = 48 * 1024  # of a transaction's 64 KiB
# The state service allows this many conditions for each operation that a transaction may have.
CONDITIONS_PER_OPERATION = 4
