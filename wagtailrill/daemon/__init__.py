"""Daemon that runs one instance with wagtailrill's own interface."""
