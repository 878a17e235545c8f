"""Stops requests that crash each backend server that runs them."""
