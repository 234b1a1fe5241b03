"""Sidecar deployment: one instance per target, on the same machine."""
