"""Rates of organisations, kept by all instances together."""
