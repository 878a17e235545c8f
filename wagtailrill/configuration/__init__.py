"""The configuration in force, which every instance follows in the store."""
