"""Adapter to the hosting platform: settings, store, configuration and wire names."""
