"""Measures of whole engines on the virtual clock, beside a plain router."""
