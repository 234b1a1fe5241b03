"""Target selection, admission, queueing and retries."""
