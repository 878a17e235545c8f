"""Instances of a deployment, and the duties that one of them has at a time."""
