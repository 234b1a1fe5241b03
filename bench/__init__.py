"""Measurements on real sockets."""
