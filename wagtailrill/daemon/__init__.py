"""The daemon: runs the decision code of one instance with its I/O."""
