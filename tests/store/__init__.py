"""Tests of the access to the key-value store."""
