"""Owners of the keys of keyed services."""
