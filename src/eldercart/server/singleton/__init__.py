"""The adapters of the named leases."""
