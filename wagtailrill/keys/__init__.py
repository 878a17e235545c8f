"""Assignment of the keys of keyed services to backend servers."""
