"""Choice of targets, queueing and retries."""
