"""Test doubles and helpers that several test packages share."""
