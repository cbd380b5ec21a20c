"""The client of the state service (the external key-value store) and its rate limiting."""
