"""HTTP connections to callers and to backend servers."""
