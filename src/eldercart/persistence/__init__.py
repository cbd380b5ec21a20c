"""What the leader writes to the state store and reads back."""
