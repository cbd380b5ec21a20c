"""Connections between controller nodes and the messages that are exchanged over them."""
