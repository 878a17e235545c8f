"""Admission control: whether a request is placed, waits or is rejected."""
