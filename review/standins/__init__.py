"""Stand-ins for the users' platform, and the scripts' common parts."""
