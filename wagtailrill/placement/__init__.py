"""Assigns requests to backend servers with fleet-wide knowledge of their load."""
