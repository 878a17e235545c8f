"""Retry and hedge budgets."""
