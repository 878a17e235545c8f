"""Claims on idempotency keys, kept in the store so that a request runs once."""
