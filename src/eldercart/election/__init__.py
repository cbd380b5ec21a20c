"""Leader election based on a lease in the state store."""
