"""Gray failure detection, ejection permits and crash suspects."""
