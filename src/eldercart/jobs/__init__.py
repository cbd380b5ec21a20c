"""Jobs: their registry, tasks and placements, and the dependencies between them."""
