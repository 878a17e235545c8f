"""Places requests on backend servers with the knowledge of all instances."""
