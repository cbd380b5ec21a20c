"""Handles requests of users: submissions, polls and cancellations."""
