"""Tests of shard ownership, rate limits and idempotency records."""
