"""Composes the components of one instance into a router without I/O."""
