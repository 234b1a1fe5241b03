"""Tests of the cicadafront package."""
