"""Stand-ins and helpers that several test packages share."""
