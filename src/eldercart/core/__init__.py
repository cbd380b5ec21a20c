"""The scheduler itself: a state machine without I/O, clock or global random numbers."""
