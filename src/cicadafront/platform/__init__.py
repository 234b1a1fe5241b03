"""Names, formats and calls of the users' platform.

Nothing here decides anything, and nothing outside knows a name of the wire.
"""
