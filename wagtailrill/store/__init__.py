"""Interface of the key-value store and copies of its contents."""
