"""Handling of a request, from its arrival to its answer or refusal."""
