"""Calls to the state store, within its rate limits."""
