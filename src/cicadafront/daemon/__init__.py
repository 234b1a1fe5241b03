"""The daemon: composition root and supervision of its components."""
