"""FROZEN: code that runs with an earlier version's sources, in the names that those have.

Nothing here follows the names of this tree: it may use only what both 0782287 and 852ab75 have, or
look first whether it is there. Leave this directory out of every rename.

- `old_reading`, `old_recording`: scripts, run with an earlier tree first on the path.
- `old_nodes`: an earlier version's leader and relay in this process, behind plain values.
- `old_fields`: the names under which the samples hold what was read.
"""
