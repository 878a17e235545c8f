"""Authentication by tenant keys, and checks of the headers of callers."""
