"""Ownership of key slots: placement, moves, grants and routing of keys."""
