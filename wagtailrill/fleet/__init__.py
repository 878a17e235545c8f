"""Membership of the instances of a deployment, and duties with one holder each."""
