"""Leader election over a lease in the state store."""
