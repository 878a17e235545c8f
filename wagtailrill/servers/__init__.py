"""Backend servers: discovery, load estimates, warm-up, and the choice of one."""
