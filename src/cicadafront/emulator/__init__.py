"""Stand-ins for the platform and for targets, and the load tool."""
