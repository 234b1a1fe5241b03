"""Tests of cicadafront.health."""
