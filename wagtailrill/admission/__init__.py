"""Queues of requests that wait for a backend server's permit."""
