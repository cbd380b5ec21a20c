"""Scaling out and in: how many machines are needed, and the requests to the cloud."""
