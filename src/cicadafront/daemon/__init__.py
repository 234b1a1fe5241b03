"""The daemon: composition root and supervisor tree."""
