"""Adapter for the platform's header names, documents and store API.

The package only translates between the platform's protocol and the types of
this project. The names of that protocol are defined in this package only.
"""
