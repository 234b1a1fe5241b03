"""Tests of links between instances."""
