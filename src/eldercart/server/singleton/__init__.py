"""Adapters between the named-lease state machines and the state service, cloud and leader."""
