"""The jobs of the cluster: their registry, tasks, placements and dependencies."""
