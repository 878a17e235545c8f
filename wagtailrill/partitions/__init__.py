"""Partitions: which instance arbitrates for a shared resource."""
