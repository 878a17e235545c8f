"""Tenant keys of organisations and checks of callers' headers."""
