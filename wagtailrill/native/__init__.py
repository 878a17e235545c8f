"""Adapter to wagtailrill's own headers, control calls and declaration format."""
