"""Logs, metrics and traces of an instance."""
