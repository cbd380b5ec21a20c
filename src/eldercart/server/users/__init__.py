"""Users' requests: submissions, polls and cancellations."""
