"""Shard ownership, rate limits and idempotency records."""
