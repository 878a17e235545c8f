"""Fleet-wide rate limits of organisations by conserved shares."""
