"""Access to the platform's key-value store."""
