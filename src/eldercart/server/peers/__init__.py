"""Connections between the controller nodes and what is sent over them."""
