"""Stand-ins for the platform's store and for backend servers, used by tests."""
