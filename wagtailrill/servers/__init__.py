"""Backend servers: which there are, what they bear, and the choice of one."""
