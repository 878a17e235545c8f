"""Runs one instance in a process: event loop, listeners, clients, admin interface."""
