"""Process of one instance: event loop, listeners and clients."""
