"""Blocks requests that crash the backend servers that run them."""
