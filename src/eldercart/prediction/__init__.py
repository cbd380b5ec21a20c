"""Predicted jobs and the soft reservations made for them."""
