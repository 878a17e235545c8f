"""Decisions of one instance, composed of its components."""
