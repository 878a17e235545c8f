"""The way of a request from its arrival to its answer."""
