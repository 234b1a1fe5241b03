"""Tests of the sidecar deployment."""
