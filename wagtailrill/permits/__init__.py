"""Permits that bound the concurrency and connections of backend servers."""
