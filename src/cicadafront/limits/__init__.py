"""Shard ownership, rates and idempotency records."""
