"""Autoscaling: computes how many machines are needed and makes the requests to the cloud."""
