"""Stand-ins of the third review: the platform's store, upstreams and callers.

They speak what the users' pages say, and are written for the review's scripts alone.
"""
