"""Tests of cicadafront.routing."""
