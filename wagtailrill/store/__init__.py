"""Interface of the key-value store, and local mirrors of its keys."""
