"""Tests that the pages agree with the code."""
