"""Election, failover, and the work that a node does while it is the leader."""
