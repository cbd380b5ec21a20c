"""Limits of the transactions without operations that check whether keys are absent."""

# A look-up that needs more transactions reads outcomes by their common key prefix instead.
MAX_CONDITION_REQUESTS = 2
MAX_CONDITION_BYTES = 48 * 1024  # used part of the 64 KiB that a transaction may have
# The state service allows this many conditions per operation that a transaction may have.
CONDITIONS_PER_OPERATION = 4
