"""Tests of cicadafront."""
