"""Load generators that drive the real code without sockets or a simulated cluster."""
