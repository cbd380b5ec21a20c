"""The leader's state machine and its planning of placements."""
