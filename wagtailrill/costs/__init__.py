"""Estimates what requests cost: work at a backend server, and bytes of the response."""
