"""The machines: what is known of them, their heartbeats, and what is sent to them."""
