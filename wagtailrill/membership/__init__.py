"""Members of the cell, their leases, the coordinator and the cell table."""
