"""Decisions of one instance, composed of components."""
