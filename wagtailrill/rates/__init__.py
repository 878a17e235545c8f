"""Fleet-wide rate limits of organisations, enforced with token buckets."""
