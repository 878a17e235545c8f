"""Budgets of retries and hedges, and the delay after which a request is hedged."""
