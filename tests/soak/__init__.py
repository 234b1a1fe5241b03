"""Fault soak of the sidecar deployment."""
