"""Tests of the deployment beside one target."""
