"""Tests of shard ownership, rates and idempotency records."""
