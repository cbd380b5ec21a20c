"""Cluster machines: inventory, heartbeats, failure detection and commands to workers."""
