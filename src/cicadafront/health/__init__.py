"""Gray failure detection, outlier ejection and crash-inducing requests."""
