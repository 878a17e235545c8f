"""A small load tool with an open-loop arrival process."""
