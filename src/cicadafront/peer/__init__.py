"""Connections (links) between instances."""
