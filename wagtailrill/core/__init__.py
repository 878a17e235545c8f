"""Shared parts of the decision code: context, timers, commands, errors."""
