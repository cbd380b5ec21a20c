"""What a node does to become, be and stop being the leader."""
