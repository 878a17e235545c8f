"""Interfaces of the platform: key-value store and instance list."""
