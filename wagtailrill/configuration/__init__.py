"""The configuration in force and how it reaches every instance."""
